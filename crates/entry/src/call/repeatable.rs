//! Calls that may be repeated.

use std::rc::Rc;

use plan::AttemptTimeout;
use wire::{Answer, Call};

use super::send::{Failed, pick, send};
use crate::app::App;
use crate::refusal::{Code, Refusal};

/// A call that may be repeated: tried elsewhere for as long as its deadline allows.
pub(super) async fn repeatable(app: &Rc<App>, call: &Call) -> Result<Answer, Refusal> {
    let deadline_ms = app.now_ms() + call.deadline_ms;
    let mut tried = Vec::new();
    let mut touched = false;
    app.retries.borrow_mut().deposit();
    loop {
        let (chosen, others) = pick(app, &call.service, &tried);
        let left_ms = deadline_ms.saturating_sub(app.now_ms());
        let budget = AttemptTimeout::next(left_ms, others);
        let (Some((name, address)), Some(budget)) = (chosen, budget) else {
            let text = format!("service {}: none is left to try", call.service);
            let ended = if touched {
                Refusal::unknown(Code::Upstream, text)
            } else {
                Refusal::new(Code::NoUpstream, text)
            };
            return Err(ended.retry_after(500));
        };
        let reason = match send(app, call, &name, &address, budget.timeout_ms).await {
            Ok(answer) => return Ok(answer),
            Err(Failed::NeverSent) => "connect",
            Err(Failed::Unknown(_)) => {
                touched = true;
                "service"
            }
        };
        tried.push(name);
        app.metrics.retries.with_label_values(&[reason]).inc();
        if !app.retries.borrow_mut().try_withdraw() {
            let text = "no retry is left";
            return Err(Refusal::unknown(Code::Upstream, text).retry_after(1_000));
        }
    }
}
