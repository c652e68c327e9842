//! Detection of poison requests, which crash the engines that serve them.
//!
//! The same rule as on the platform (`view::poison`), but based only on what this instance
//! observes: a request during which two engines have crashed is not sent to a third.

use std::time::Duration;

use view::{FailureEvidence, UpstreamKey};

use super::CompletionRunner;
use super::attempt::Attempt;
use crate::engine::{self, EngineError};
use crate::refusal::{Code, Refusal};

/// Times that an engine whose connection broke again is asked once more, and the pause between two of them, in ms: the
/// listener of a process that is ending may accept connections for a moment longer than those before last.
const LOSS_CHECKS: u32 = 5;
const LOSS_CHECK_PAUSE_MS: u64 = 20;

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
            self.attribute_loss(attempt, error).await;
        }
    }

    /// Finds out whether an engine has crashed, after resuming its stream failed: whether it refuses connections, now
    /// or shortly after. Without a second look, an engine that is just ending would not count, and the request would
    /// end one engine more.
    pub(super) async fn attribute_loss(&self, attempt: &Attempt, mut error: EngineError) {
        for _ in 0..LOSS_CHECKS {
            if !matches!(error, EngineError::Broken { .. }) {
                break;
            }
            actix_rt::time::sleep(Duration::from_millis(LOSS_CHECK_PAUSE_MS)).await;
            let name = &attempt.request_id;
            let produced = self.produced;
            match engine::resume(&self.app, &attempt.address, name, produced).await {
                Ok(_) => return,
                Err(next) => error = next,
            }
        }
        if matches!(error, EngineError::NeverSent { .. }) {
            self.record_engine_loss(attempt);
        }
    }

    fn record_engine_loss(&self, attempt: &Attempt) {
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
