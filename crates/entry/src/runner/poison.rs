//! Detection of poison requests, which crash the engines that serve them.
//!
//! The same rule as on the platform (`view::poison`), but based only on what this instance
//! observes: a request during which two engines have crashed is not sent to a third.

use view::{FailureEvidence, UpstreamKey};

use super::CompletionRunner;
use super::attempt::Attempt;
use crate::engine::{self, EngineError};
use crate::refusal::{Code, Refusal};

impl CompletionRunner {
    /// Refuses a poison request.
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

    /// Checks whether the engine has crashed, after its connection failed before the answer began.
    pub(super) async fn probe_engine(&self, attempt: &Attempt) {
        let name = &attempt.request_id;
        if let Err(error) = engine::resume(&self.app, &attempt.address, name, 0).await {
            self.record_engine_loss(attempt, &error);
        }
    }

    /// Records that an engine has crashed if resuming its stream failed because it refuses
    /// connections.
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
            peer = attempt.name.as_str(), key:% = request; "engine has crashed"
        );
    }

    /// Records a complete answer, which shows that the request is not a poison request.
    pub(super) fn record_answered(&self) {
        let mut tracker = self.app.poison_tracker.borrow_mut();
        if tracker.is_tracked(self.job.key) {
            tracker.observe(self.app.now_ms(), FailureEvidence::Answered(self.job.key));
        }
    }
}
