//! What is held against a prompt, and not against the engines that end under it.
//!
//! The same rule as on the platform (`view::poison`), by what this instance sees itself: a prompt under which two engines
//! have ended is asked of no third one.

use view::{FailureEvidence, UpstreamKey};

use super::Pump;
use super::stream::Attempt;
use crate::engine::{self, EngineError};
use crate::refusal::{Code, Refusal};

impl Pump {
    /// Refuses a prompt under which engines end.
    pub(super) fn admit(&self) -> Result<(), Refusal> {
        let now_ms = self.app.now_ms();
        let mut suspects = self.app.suspects.borrow_mut();
        if !suspects.is_poison(now_ms, self.work.key) {
            return Ok(());
        }
        suspects.record_refusal(now_ms, self.work.key);
        let text = "engines end under this request";
        Err(Refusal::new(Code::NoUpstream, text))
    }

    /// The connection ended before the answer began; finds out whether the engine has ended.
    pub(super) async fn look(&self, attempt: &Attempt) {
        let name = &attempt.request_id;
        if let Err(error) = engine::resume(&self.app, &attempt.address, name, 0).await {
            self.note_end(attempt, &error);
        }
    }

    /// An engine that broke off was asked again; notes that it has ended if it takes no connection any more.
    pub(super) fn note_end(&self, attempt: &Attempt, error: &EngineError) {
        if !matches!(error, EngineError::NeverSent { .. }) {
            return;
        }
        let now_ms = self.app.now_ms();
        let upstream = UpstreamKey::of(&attempt.name, 0);
        let request = self.work.key;
        let mut suspects = self.app.suspects.borrow_mut();
        suspects.observe(now_ms, FailureEvidence::Lost { request, upstream });
        suspects.observe(now_ms, FailureEvidence::Ended(upstream));
        log::info!(
            step = "stream", request_id = attempt.request_id.as_str(),
            peer = attempt.name.as_str(), key:% = request; "engine has ended"
        );
    }

    /// The answer is whole, so the prompt is none that ends engines.
    pub(super) fn note_answered(&self) {
        let mut suspects = self.app.suspects.borrow_mut();
        if suspects.is_tracked(self.work.key) {
            suspects.observe(self.app.now_ms(), FailureEvidence::Answered(self.work.key));
        }
    }
}
