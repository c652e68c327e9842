//! Calls that may be retried.

use std::rc::Rc;

use plan::AttemptTimeout;
use wire::{Answer, Call};

use super::send::{CallError, pick_instance, send};
use crate::app::App;
use crate::refusal::{Code, Refusal};

/// Runs a call, and retries it at other instances of the service until its deadline.
pub(super) async fn call_with_retries(app: &Rc<App>, call: &Call) -> Result<Answer, Refusal> {
    let deadline_ms = app.now_ms() + call.deadline_ms;
    let mut tried = Vec::new();
    let mut may_have_run = false;
    app.retry_budget.borrow_mut().deposit();
    loop {
        let (chosen, alternatives) = pick_instance(app, &call.service, &tried);
        let left_ms = deadline_ms.saturating_sub(app.now_ms());
        let timeout = AttemptTimeout::next(left_ms, alternatives);
        let (Some((name, address)), Some(timeout)) = (chosen, timeout) else {
            let text = format!("service {}: none is left to try", call.service);
            let refusal = if may_have_run {
                Refusal::unknown(Code::Upstream, text)
            } else {
                Refusal::new(Code::NoUpstream, text)
            };
            return Err(refusal.retry_after(500));
        };
        let reason = match send(app, call, &name, &address, timeout.timeout_ms).await {
            Ok(answer) => return Ok(answer),
            Err(CallError::NeverSent) => "connect",
            Err(CallError::Unknown(_)) => {
                may_have_run = true;
                "service"
            }
        };
        tried.push(name);
        app.metrics.retries.with_label_values(&[reason]).inc();
        if !app.retry_budget.borrow_mut().try_withdraw() {
            let text = "no retry is left";
            return Err(Refusal::unknown(Code::Upstream, text).retry_after(1_000));
        }
    }
}
