//! What is held against a prompt, and not against the engines that end under it.
//!
//! The same rule as on the platform (`view::poison`), by what this instance sees itself: a prompt under which two engines
//! have ended is asked of no third one.

use view::{FailureEvidence, UpstreamKey};

use super::CompletionRunner;
use super::attempt::Attempt;
use crate::engine::{self, EngineError};
use crate::refusal::{Code, Refusal};

impl CompletionRunner {
    /// Refuses a prompt under which engines end.
    pub(super) fn check_poison(&self) -> Result<(), Refusal> {
        let now_ms = self.app.now_ms();
        let mut tracker = self.app.poison_tracker.borrow_mut();
        if !tracker.is_poison(now_ms, self.job.key) {
            return Ok(());
        }
        tracker.record_refusal(now_ms, self.job.key);
        let text = "engines end under this request";
        Err(Refusal::new(Code::NoUpstream, text))
    }

    /// The connection ended before the answer began; finds out whether the engine has ended.
    pub(super) async fn probe_engine(&self, attempt: &Attempt) {
        let name = &attempt.request_id;
        if let Err(error) = engine::resume(&self.app, &attempt.address, name, 0).await {
            self.record_engine_loss(attempt, &error);
        }
    }

    /// An engine that broke off was asked again; notes that it has ended if it takes no connection any more.
    pub(super) fn record_engine_loss(&self, attempt: &Attempt, error: &EngineError) {
        if !matches!(error, EngineError::NeverSent { .. }) {
            return;
        }
        let now_ms = self.app.now_ms();
        let upstream = UpstreamKey::of(&attempt.name, 0);
        let request = self.job.key;
        let mut tracker = self.app.poison_tracker.borrow_mut();
        tracker.observe(now_ms, FailureEvidence::Lost { request, upstream });
        tracker.observe(now_ms, FailureEvidence::Ended(upstream));
        log::info!(
            step = "stream", request_id = attempt.request_id.as_str(),
            peer = attempt.name.as_str(), key:% = request; "engine has ended"
        );
    }

    /// The answer is whole, so the prompt is none that ends engines.
    pub(super) fn record_answered(&self) {
        let mut tracker = self.app.poison_tracker.borrow_mut();
        if tracker.is_tracked(self.job.key) {
            tracker.observe(self.app.now_ms(), FailureEvidence::Answered(self.job.key));
        }
    }
}
