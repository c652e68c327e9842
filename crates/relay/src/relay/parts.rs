//! Prompt parts that may end upstreams: which requests are sent, and what their answers show.

use view::parts::Trial;
use view::{
    AnswerProgress, FailureEvidence, GossipMessage, PartEvidence, PartKey, PartVerdict, RequestKey,
    Suspicion, UpstreamKey,
};

use super::{PoisonRecord, Relay};
use crate::answer::{Reason, Refusal};
use crate::attribution::IN_DOUBT_RETRY_MS;
use crate::call::Call;
use crate::claimed_trial::{ClaimedTrial, SendStep};
use crate::upstream::Upstream;

impl Relay {
    /// What the parts of its prompt mean for the next send of a request; refuses it if it must not be sent.
    pub(crate) fn part_step(&self, call: &Call) -> Result<SendStep, Refusal> {
        if call.shared_parts.is_empty() {
            return Ok(SendStep::Send);
        }
        let now_ms = self.now_ms();
        if let Some(trial) = call.part_trial.get()
            && trial.is_unused(call.possible_runs.get())
        {
            if self.part_tracker.borrow().holds_trial(now_ms, trial.trial) {
                return Ok(trial.step(now_ms, self.has_senders()));
            }
            call.part_trial.set(None);
        }
        self.learn_listed_parts(call);
        let verdict = self
            .part_tracker
            .borrow_mut()
            .decide(now_ms, &call.shared_parts);
        match verdict {
            PartVerdict::Allowed => Ok(SendStep::Send),
            PartVerdict::MayTry(part) if self.may_try(call) => {
                Ok(self.claim_part_trial(call, part))
            }
            PartVerdict::Held if self.is_part_trial_running(call) => Ok(SendStep::Wait),
            PartVerdict::MayTry(_) if self.waits_for_path(call) => Ok(SendStep::Wait),
            PartVerdict::MayTry(_) | PartVerdict::Held => {
                let reason = Reason::HeldPart;
                Err(Refusal::with_retry_after(reason, IN_DOUBT_RETRY_MS))
            }
            PartVerdict::Convicted => Err(Refusal::new(Reason::PoisonRequest)),
        }
    }

    /// Takes over the convictions of parts that peers or the store name, with the number of their trials, so that this
    /// instance decides on the next one like any other.
    fn learn_listed_parts(&self, call: &Call) {
        let now_ms = self.now_ms();
        let mut poison = self.poison_tracker.borrow_mut();
        let mut parts = self.part_tracker.borrow_mut();
        for part in &call.shared_parts {
            let key = part.request_key();
            if !poison.is_poison(now_ms, key) {
                continue;
            }
            poison.record_refusal(now_ms, key);
            parts.learn_conviction(now_ms, *part, poison.trial_count(key).max(1));
        }
    }

    fn is_part_trial_running(&self, call: &Call) -> bool {
        let tracker = self.part_tracker.borrow();
        tracker.is_trial_running(self.now_ms(), &call.shared_parts)
    }

    fn claim_part_trial(&self, call: &Call, part: PartKey) -> SendStep {
        let now_ms = self.now_ms();
        let trial = Trial {
            part,
            instance: self.own_key(),
        };
        let claim = self.part_tracker.borrow_mut().claim_trial(now_ms, trial);
        self.gossip.borrow_mut().add_part_evidence(claim);
        log::info!(request = call.id(), part:% = part; "request is the trial of a prompt part");
        let claimed = ClaimedTrial {
            trial,
            claimed_ms: now_ms,
            runs_before: call.possible_runs.get(),
        };
        call.part_trial.set(Some(claimed));
        claimed.step(now_ms, self.has_senders())
    }

    /// Ends the trial that a request is, if it showed nothing.
    pub(crate) fn abandon_part_trial(&self, call: &Call) {
        let Some(trial) = call.part_trial.take() else {
            return;
        };
        let over = self.part_tracker.borrow_mut().abandon_trial(trial.trial);
        if let Some(over) = over {
            self.count_part_trial("nothing");
            self.gossip.borrow_mut().add_part_evidence(over);
        }
    }

    fn count_part_trial(&self, outcome: &str) {
        let trials = &self.metrics.parts.trials;
        trials.with_label_values(&[outcome]).inc();
    }

    /// Clears the parts of a request whose answer went past its first event or ended whole.
    pub(crate) fn clear_parts(&self, call: &Call) {
        let now_ms = self.now_ms();
        for part in &call.shared_parts {
            let trial = call.part_trial.get().map(|it| it.trial);
            let is_trial = trial.is_some_and(|trial| {
                trial.part == *part && self.part_tracker.borrow().holds_trial(now_ms, trial)
            });
            let cleared = self.part_tracker.borrow_mut().record_went_on(now_ms, *part);
            if is_trial {
                self.count_part_trial("cleared");
            }
            if let Some(cleared) = cleared {
                log::info!(request = call.id(), part:% = part; "prompt part cleared");
                self.gossip.borrow_mut().add_part_evidence(cleared);
            }
            self.clear_conviction(*part);
        }
    }

    /// Tells the peers that a part they may refuse like a poison request ends no upstreams.
    fn clear_conviction(&self, part: PartKey) {
        let key = part.request_key();
        let is_tracked = self.poison_tracker.borrow().is_tracked(key);
        if is_tracked {
            self.record_attribution(FailureEvidence::Answered(key));
        }
    }

    /// Clears the parts of a request whose answer ended whole.
    pub(super) fn clear_answered_parts(&self, call: &Call) {
        match call.progress.replace(AnswerProgress::NotSent) {
            AnswerProgress::Begun | AnswerProgress::FirstEvent => self.clear_parts(call),
            AnswerProgress::NotSent | AnswerProgress::Waiting | AnswerProgress::WentOn => {}
        }
    }

    /// The parts of a request that its lost answer may accuse.
    pub(crate) fn unproven_parts(&self, call: &Call) -> Vec<PartKey> {
        let tracker = self.part_tracker.borrow();
        tracker.unproven(self.now_ms(), &call.shared_parts)
    }

    /// Records that an answer was lost with its connection; it accuses the parts of its prompt if its upstream ended.
    pub(crate) fn note_lost_parts(&self, call: &Call, upstream: &Upstream) {
        if call.shared_parts.is_empty() {
            return;
        }
        let progress = call.progress.replace(AnswerProgress::NotSent);
        let trial = call.part_trial.get().map(|it| it.trial);
        self.part_tracker.borrow_mut().record_loss(
            self.now_ms(),
            upstream.key,
            &call.shared_parts,
            progress,
            trial,
        );
        if self.poison_tracker.borrow().has_ended(upstream.key) {
            self.accuse_parts(upstream.key);
        }
    }

    /// Accuses the parts of the answers that this instance lost at an upstream, which has ended.
    pub(super) fn accuse_parts(&self, upstream: UpstreamKey) {
        let now_ms = self.now_ms();
        let own = self.own_key();
        let found = self
            .part_tracker
            .borrow_mut()
            .upstream_ended(now_ms, own, upstream);
        for evidence in found {
            self.gossip.borrow_mut().add_part_evidence(evidence);
            match evidence {
                PartEvidence::EndedUnder {
                    part,
                    upstream,
                    suspicion,
                } => self.log_accused(now_ms, part, upstream, suspicion),
                PartEvidence::Convicted {
                    part,
                    failed_trials,
                } => self.part_convicted(part, failed_trials),
                PartEvidence::WentOn(_)
                | PartEvidence::TrialBegan(_)
                | PartEvidence::TrialOver(_) => {}
            }
        }
    }

    fn log_accused(&self, now_ms: u64, part: PartKey, upstream: UpstreamKey, how: Suspicion) {
        if !self.failure_log_limit.take(now_ms) {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let upstream = upstreams.get_by_key(upstream);
        let id = upstream.map_or("-", |upstream| upstream.id.as_str());
        log::info!(part:% = part, upstream = id, how:?; "prompt part accused: an upstream ended under it");
    }

    /// Has a convicted part refused, told and recorded like a poison request.
    fn part_convicted(&self, part: PartKey, failed_trials: u8) {
        self.count_part_trial("convicted");
        let ended = self.part_tracker.borrow().ended_under(part);
        log::warn!(part:% = part, upstreams_ended = ended.len(); "prompt part terminates upstreams");
        let request = part.request_key();
        for upstream in ended {
            self.record_attribution(FailureEvidence::Lost { request, upstream });
            self.record_attribution(FailureEvidence::Ended(upstream));
        }
        self.learn_poison_requests(&[request]);
        self.learn_trial_counts(&[(request, failed_trials)]);
        self.poison_tracker.borrow_mut().mark_unsaved(request);
    }

    /// Drops what was lost at an upstream on a path that was cut.
    pub(super) fn excuse_parts(&self, upstream: UpstreamKey) {
        let now_ms = self.now_ms();
        self.part_tracker.borrow_mut().excuse(now_ms, upstream);
    }

    /// Applies the evidence on prompt parts that a peer gossiped.
    pub(super) fn apply_part_evidence(&self, now_ms: u64, message: &GossipMessage) {
        for evidence in &message.part_evidence {
            let effect = self.part_tracker.borrow_mut().receive(now_ms, *evidence);
            let mut gossip = self.gossip.borrow_mut();
            if effect.is_new {
                gossip.forward_part_evidence(*evidence, message.kind);
            }
            if let Some(reply) = effect.reply {
                gossip.add_part_evidence(reply);
            }
            drop(gossip);
            if let Some(PartEvidence::WentOn(part)) = effect.reply {
                self.clear_conviction(part);
            }
        }
    }

    /// Trials of a part that ended their upstream, if the key is that of a convicted part.
    pub(super) fn failed_part_trials(&self, key: RequestKey) -> Option<u8> {
        self.part_tracker.borrow().failed_trials(PartKey(key.0))
    }

    /// Applies the record of a convicted part, unless an answer has cleared it meanwhile.
    pub(super) fn learn_convicted_part(&self, key: RequestKey, record: PoisonRecord) {
        let now_ms = self.now_ms();
        let is_poison = self.poison_tracker.borrow().is_poison(now_ms, key);
        if let Some(failed_trials) = record.failed_trials.filter(|_| is_poison) {
            let mut tracker = self.part_tracker.borrow_mut();
            tracker.convict(now_ms, PartKey(key.0), failed_trials);
        }
    }

    pub(super) fn set_part_gauges(&self) {
        let tracker = self.part_tracker.borrow();
        let counts = [
            ("held", tracker.held_count(self.now_ms())),
            ("convicted", tracker.convicted_count()),
        ];
        for (state, count) in counts {
            let gauge = self.metrics.parts.suspected.with_label_values(&[state]);
            gauge.set(count.cast_signed() as i64);
        }
    }
}
