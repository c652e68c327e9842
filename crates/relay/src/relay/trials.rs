//! Trials of requests under which upstreams ended.

use view::poison::DOUBT_MS;
use view::trials::CLAIM_MS;
use view::{
    FailureEvidence, GossipMessage, InstanceKey, RequestKey, RequestTrial, RequestVerdict,
    TrialNews,
};

use plan::ReachState;

use super::Relay;
use crate::answer::{Reason, Refusal};
use crate::attribution::IN_DOUBT_RETRY_MS;
use crate::call::Call;
use crate::claimed_trial::{ClaimedTrial, SendStep};
use crate::upstream::Upstream;

impl Relay {
    pub(super) fn own_key(&self) -> InstanceKey {
        InstanceKey::of(&self.settings.borrow().name)
    }

    /// What the ends of upstreams under a request mean for its next send; refuses it if it must not be sent.
    pub(crate) fn request_step(&self, call: &Call) -> Result<SendStep, Refusal> {
        let now_ms = self.now_ms();
        if let Some(trial) = call.request_trial.get()
            && trial.is_unused(call.possible_runs.get())
        {
            if self.poison_tracker.borrow().holds_trial(trial.trial) {
                return Ok(trial.step(now_ms, self.has_senders()));
            }
            call.request_trial.set(None);
        }
        let verdict = self
            .poison_tracker
            .borrow()
            .decide(now_ms, call.key, self.own_key());
        let refusal = match verdict {
            RequestVerdict::Allowed => return Ok(SendStep::Send),
            RequestVerdict::TrialRunning => return Ok(SendStep::Wait),
            RequestVerdict::MayTry(number) if self.may_try(call) => {
                return Ok(self.claim_request_trial(call, number));
            }
            RequestVerdict::MayTry(_) if self.waits_for_path(call) => return Ok(SendStep::Wait),
            RequestVerdict::MayTry(_) => {
                Refusal::with_retry_after(Reason::HeldRequest, IN_DOUBT_RETRY_MS)
            }
            RequestVerdict::Held(wait_ms) => {
                Refusal::with_retry_after(Reason::HeldRequest, wait_ms)
            }
            RequestVerdict::Refused => Refusal::new(Reason::PoisonRequest),
        };
        let mut tracker = self.poison_tracker.borrow_mut();
        tracker.record_refusal(now_ms, call.key);
        Err(refusal)
    }

    /// Whether a request may be sent again at once, to the upstream that rejected it.
    pub(crate) fn may_send_again(&self, call: &Call) -> bool {
        matches!(self.request_step(call), Ok(SendStep::Send))
    }

    /// Whether a request can be the trial of what is held: a trial that reaches no upstream would only keep others from
    /// theirs, and one that this instance loses by its own path would tell nothing.
    pub(super) fn may_try(&self, call: &Call) -> bool {
        let now_ms = self.now_ms();
        let has_time = call.left_ms(now_ms) > 2 * CLAIM_MS;
        let upstreams = self.upstreams.borrow();
        let mut ready = upstreams.ready(&call.service, now_ms);
        has_time
            && !call.is_trial()
            && self.reach_state(&call.service) == ReachState::Reached
            && ready
                .any(|upstream| upstream.accepts_requests(now_ms) && !upstream.is_unproven(now_ms))
    }

    /// Whether a request could be a trial if it were known that this instance reaches its upstreams.
    pub(super) fn waits_for_path(&self, call: &Call) -> bool {
        !call.is_trial() && self.reach_state(&call.service) != ReachState::Reached
    }

    fn claim_request_trial(&self, call: &Call, number: u8) -> SendStep {
        let now_ms = self.now_ms();
        let trial = RequestTrial {
            request: call.key,
            number,
            instance: self.own_key(),
            nonce: now_ms as u32,
        };
        if !self.poison_tracker.borrow_mut().claim_trial(now_ms, trial) {
            return SendStep::Wait;
        }
        self.gossip
            .borrow_mut()
            .add_trial(TrialNews::Claimed(trial));
        log::info!(request = call.id(), key:% = call.key, number; "request is a trial: upstreams ended under it");
        let claimed = ClaimedTrial {
            trial,
            claimed_ms: now_ms,
            runs_before: call.possible_runs.get(),
        };
        call.request_trial.set(Some(claimed));
        claimed.step(now_ms, self.has_senders())
    }

    /// Gives back the trial that a request is, if it was not sent.
    pub(crate) fn abandon_request_trial(&self, call: &Call) {
        let Some(claimed) = call.request_trial.take() else {
            return;
        };
        if !claimed.is_unused(call.possible_runs.get()) {
            return;
        }
        let now_ms = self.now_ms();
        let mut tracker = self.poison_tracker.borrow_mut();
        if tracker.give_back_trial(now_ms, claimed.trial) {
            let unsent = TrialNews::Unsent(claimed.trial);
            self.gossip.borrow_mut().add_trial(unsent);
        }
    }

    /// Applies what a peer tells of trials.
    pub(super) fn apply_trials(&self, now_ms: u64, message: &GossipMessage) {
        let own = self.own_key();
        for news in &message.trials {
            if let TrialNews::Claimed(trial) = *news
                && self
                    .poison_tracker
                    .borrow()
                    .objects_to_trial(now_ms, own, trial)
            {
                let late = TrialNews::Unsent(trial);
                self.gossip.borrow_mut().add_trial(late);
                continue;
            }
            if self
                .poison_tracker
                .borrow_mut()
                .receive_trial(now_ms, *news)
            {
                self.gossip.borrow_mut().forward_trial(*news, message.kind);
            }
        }
        self.learn_trial_counts(&message.trial_counts);
    }

    /// Learns the numbers of trials of requests that are held.
    pub fn learn_trial_counts(&self, counts: &[(RequestKey, u8)]) {
        let now_ms = self.now_ms();
        let mut tracker = self.poison_tracker.borrow_mut();
        for (request, number) in counts {
            tracker.learn_trials(now_ms, *request, *number);
        }
    }

    /// Numbers of trials of some requests, of those that were tried.
    pub(crate) fn trial_counts(&self, requests: &[RequestKey]) -> Vec<(RequestKey, u8)> {
        let now_ms = self.now_ms();
        self.poison_tracker.borrow().trial_counts(now_ms, requests)
    }

    /// Upstreams that may have ended under a request, to be asked for a sign of life; none while one more end would not
    /// have it held.
    pub(crate) fn upstreams_to_inquire(&self, call: &Call) -> Vec<std::rc::Rc<Upstream>> {
        let now_ms = self.now_ms();
        let upstreams = self.upstreams.borrow();
        let mut tracker = self.poison_tracker.borrow_mut();
        let Some(lost_ms) = tracker.critical_loss_ms(call.key) else {
            return Vec::new();
        };
        if now_ms >= lost_ms + DOUBT_MS {
            return Vec::new();
        }
        let mut to_inquire = Vec::new();
        for key in tracker.undecided_upstreams(call.key) {
            let Some(upstream) = upstreams.get_by_key(key) else {
                continue;
            };
            if upstream.heard_ms() > Some(lost_ms) {
                tracker.record_alive(now_ms, key);
            } else if !upstream.is_health_check_running() {
                to_inquire.push(std::rc::Rc::clone(upstream));
            }
        }
        to_inquire
    }

    /// Records that an upstream which lost answers gave a sign of life.
    pub(crate) fn note_alive(&self, upstream: &Upstream) {
        let now_ms = self.now_ms();
        let mut tracker = self.poison_tracker.borrow_mut();
        tracker.record_alive(now_ms, upstream.key);
    }

    /// Logs that an answer is about to clear a request of its losses.
    pub(super) fn log_cleared(&self, evidence: FailureEvidence, seen_by: &str) {
        let FailureEvidence::Answered(request) = evidence else {
            return;
        };
        let tracker = self.poison_tracker.borrow();
        let losses = tracker.losses(request);
        let is_held = tracker.is_poison(self.now_ms(), request);
        if (is_held || losses.upstreams_lost > 0) && self.failure_log_limit.take(self.now_ms()) {
            log::info!(
                key:% = request, seen_by, is_held, trials = tracker.trial_count(request),
                upstreams_lost = losses.upstreams_lost, upstreams_ended = losses.upstreams_ended;
                "request cleared of its losses: an upstream answered it"
            );
        }
    }
}
