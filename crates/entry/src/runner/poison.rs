//! Detection of poison requests, which crash the engines that serve them.
//!
//! The same rules as on the platform (`view::poison`, `plan::Inquiry`), but based only on what this instance
//! observes: a request during which two engines have crashed is not sent to a third.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use plan::{Inquiry, InquiryStep, Sign, Verdict};
use view::{FailureEvidence, InstanceKey, RequestTrial, RequestVerdict, UpstreamKey};

use super::CompletionRunner;
use super::attempt::{Attempt, with_timeout};
use crate::app::App;
use crate::engine;
use crate::refusal::{Code, Refusal};

/// Time in which an engine has to give a sign of life, in ms.
const SIGN_TIMEOUT_MS: u64 = 300;

/// Interval at which a request that waits for inquiries looks again, in ms, and the longest time for which it waits.
const INQUIRY_POLL_MS: u64 = 5;
const MAX_WAIT_MS: u64 = 500;

/// Retry delay sent to a caller whose request waits for inquiries, in ms: most engines that end have ended by then.
const IN_DOUBT_RETRY_MS: u64 = 1_000;

impl CompletionRunner {
    /// Refuses a request under which engines ended, unless it is its trial. Waits while so many engines may have ended under the request that it is one if they
    /// have; otherwise it could crash a third before the end of the others is known.
    pub(super) async fn check_poison(&self) -> Result<(), Refusal> {
        let began_ms = self.app.now_ms();
        loop {
            let now_ms = self.app.now_ms();
            let is_in_doubt = self.app.waits_for_inquiry(self.job.key);
            if !is_in_doubt && self.may_be_sent(now_ms)? {
                return Ok(());
            }
            if now_ms >= began_ms + MAX_WAIT_MS {
                let text = "engines may have ended under this request";
                let refusal = Refusal::new(Code::NoUpstream, text);
                return Err(refusal.retry_after(IN_DOUBT_RETRY_MS));
            }
            actix_rt::time::sleep(Duration::from_millis(INQUIRY_POLL_MS)).await;
        }
    }

    /// Whether the request may be sent, perhaps as its next trial; false while another trial may tell soon.
    fn may_be_sent(&self, now_ms: u64) -> Result<bool, Refusal> {
        let request = self.job.key;
        let own = InstanceKey::of(&self.app.settings.instance);
        let mut tracker = self.app.poison_tracker.borrow_mut();
        let text = "engines end under this request";
        let refusal = match tracker.decide(now_ms, request, own) {
            RequestVerdict::Allowed => return Ok(true),
            RequestVerdict::TrialRunning => return Ok(false),
            RequestVerdict::MayTry(number) => {
                let trial = RequestTrial {
                    request,
                    number,
                    instance: own,
                    nonce: now_ms as u32,
                };
                log::info!(step = "stream", key:% = request, number; "request is a trial: engines ended under it");
                return Ok(tracker.claim_trial(now_ms, trial));
            }
            RequestVerdict::Held(wait_ms) => {
                Refusal::new(Code::NoUpstream, text).retry_after(wait_ms)
            }
            RequestVerdict::Refused => Refusal::new(Code::NoUpstream, text),
        };
        tracker.record_refusal(now_ms, request);
        Err(refusal)
    }

    /// Resumes the stream of an attempt whose connection failed before the answer began, and tells what its first event
    /// shows.
    pub(super) async fn sign_of_first_event(&self, attempt: &Attempt) -> Sign {
        let first = async {
            let mut events =
                engine::resume(&self.app, &attempt.address, &attempt.request_id, 0).await?;
            let ended = Err(engine::EngineError::EndedEarly);
            events.next().await.unwrap_or(ended)
        };
        match with_timeout(SIGN_TIMEOUT_MS, first).await {
            Ok(_) => Sign::Answered,
            Err(error) => engine::sign_of(&error),
        }
    }

    /// Records that an engine lost the stream of an attempt. Whether the engine has ended is asked until it is known, if
    /// the sign does not show it.
    pub(super) fn attribute_loss(&self, attempt: &Attempt, sign: Sign) {
        let upstream = UpstreamKey::of(&attempt.name, 0);
        let request = self.job.key;
        let now_ms = self.app.now_ms();
        self.app
            .poison_tracker
            .borrow_mut()
            .observe(now_ms, FailureEvidence::Lost { request, upstream });
        log::info!(
            step = "stream", request_id = attempt.request_id.as_str(),
            peer = attempt.name.as_str(), key:% = request, sign:?; "engine has lost a stream"
        );
        if sign != Sign::Answered {
            self.eject(attempt, now_ms);
        }
        let mut inquiry = Inquiry::new(now_ms);
        let step = inquiry.decide(now_ms, sign);
        if self.app.conclude(&attempt.name, step) {
            return;
        }
        let is_running = self.app.inquiries.borrow_mut().insert(upstream, now_ms);
        if is_running.is_none() {
            let (app, name) = (Rc::clone(&self.app), attempt.name.clone());
            actix_rt::spawn(inquire(app, name, attempt.address.clone(), inquiry));
        }
    }

    /// Keeps other requests from an engine that gave no sign of life: one that is ending may still accept them, and each
    /// would count as lost to an engine that ended under it.
    fn eject(&self, attempt: &Attempt, now_ms: u64) {
        let mut fleet = self.app.fleet.borrow_mut();
        let engine = fleet.get_mut(attempt.load_guard.engine);
        engine.health.record_unreachable(now_ms);
    }

    /// Records a complete answer, which shows that the request is not a poison request.
    pub(super) fn record_answered(&self) {
        let mut tracker = self.app.poison_tracker.borrow_mut();
        if tracker.is_tracked(self.job.key) {
            tracker.observe(self.app.now_ms(), FailureEvidence::Answered(self.job.key));
        }
    }
}

/// Asks an engine for a sign of life until it is known whether it has ended.
async fn inquire(app: Rc<App>, name: String, address: String, mut inquiry: Inquiry) {
    loop {
        let sign = engine::ask_report(&app, &address, SIGN_TIMEOUT_MS).await;
        let step = inquiry.decide(app.now_ms(), sign);
        if app.conclude(&name, step) {
            break;
        }
        if let InquiryStep::AskAgain(pause_ms) = step {
            actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }
    app.inquiries
        .borrow_mut()
        .remove(&UpstreamKey::of(&name, 0));
}

impl App {
    fn waits_for_inquiry(&self, request: view::RequestKey) -> bool {
        let now_ms = self.now_ms();
        let inquiries = self.inquiries.borrow();
        let age_ms = |key| Some(now_ms.saturating_sub(*inquiries.get(&key)?));
        self.poison_tracker.borrow().is_in_doubt(request, age_ms)
    }

    /// Records the verdict on an engine; false if there is none yet.
    fn conclude(&self, name: &str, step: InquiryStep) -> bool {
        match step {
            InquiryStep::AskAgain(_) => return false,
            InquiryStep::Conclude(Verdict::Lives) => {
                let mut tracker = self.poison_tracker.borrow_mut();
                tracker.record_alive(self.now_ms(), UpstreamKey::of(name, 0));
            }
            InquiryStep::Conclude(Verdict::Unknown) => {}
            InquiryStep::Conclude(Verdict::Ended) => {
                let ended = FailureEvidence::Ended(UpstreamKey::of(name, 0));
                let mut tracker = self.poison_tracker.borrow_mut();
                tracker.observe(self.now_ms(), ended);
                log::info!(step = "stream", peer = name; "engine has crashed");
            }
        }
        true
    }
}
