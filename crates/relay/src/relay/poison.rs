//! Poison requests: requests that terminate the upstreams that run them.

use serde::{Deserialize, Serialize};
use view::poison::{Losses, RETENTION_MS, StoreStep};
use view::{FailureEvidence, GossipMessage, RequestKey};

use super::Relay;
use super::peers::unix_ms;
use crate::call::Call;

/// Record of a poison request in the store.
///
/// Without it, each instance would have to lose upstreams again to detect the request once all of them had
/// been killed at the same time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PoisonRecord {
    /// Wall clock time at which the request was detected, in ms since 1970.
    pub found_unix_ms: u64,
    /// Trials that ended their upstream, if the key is that of a prompt part.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failed_trials: Option<u8>,
    /// Trials so far, if it was tried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trials: Option<u8>,
}

impl Relay {
    /// Whether a request is to wait until it is known which upstreams have ended under it.
    pub fn waits_for_inquiry(&self, call: &Call) -> bool {
        let now_ms = self.now_ms();
        let upstreams = self.upstreams.borrow();
        let tracker = self.poison_tracker.borrow();
        tracker.is_in_doubt(call.key, |key| {
            let upstream = upstreams.get_by_key(key)?;
            upstream.health_check_age_ms(now_ms)
        })
    }

    /// Records evidence on whether a request or its upstream caused a loss, and gossips it if it is new.
    pub fn record_attribution(&self, evidence: FailureEvidence) {
        let now_ms = self.now_ms();
        self.log_cleared(evidence, "own");
        if self.poison_tracker.borrow_mut().observe(now_ms, evidence) {
            self.gossip.borrow_mut().add_evidence(evidence);
        }
        match evidence {
            FailureEvidence::Ended(upstream) => self.accuse_parts(upstream),
            FailureEvidence::Excused { upstream, .. } => self.excuse_parts(upstream),
            FailureEvidence::Lost { .. } | FailureEvidence::Answered(_) => {}
        }
    }

    /// Records the end of the last removed incarnation of an upstream as evidence against the requests whose
    /// answers it lost.
    pub(super) fn record_upstream_ended(&self, id: &str) {
        let removed = self.upstreams.borrow().last_removed(id);
        // One that was leaving has left as planned, and said nothing by that.
        if let Some((upstream, is_leaving)) = removed
            && !is_leaving
        {
            let requests = self
                .poison_tracker
                .borrow_mut()
                .upstream_unlisted(self.now_ms(), upstream);
            if requests > 0 {
                log::info!(upstream = id, requests; "upstream that lost answers is gone from the list and counts as ended");
            }
            self.accuse_parts(upstream);
        }
    }

    /// Clears a suspected request that an upstream answered completely.
    pub fn record_answered(&self, call: &Call) {
        self.clear_answered_parts(call);
        let is_suspected = self.poison_tracker.borrow().is_tracked(call.key);
        if is_suspected {
            self.record_attribution(FailureEvidence::Answered(call.key));
        }
    }

    /// Known poison requests, the most recent first, at most as many as gossip carries.
    pub fn poison_requests(&self) -> Vec<RequestKey> {
        self.poison_tracker.borrow().recent_poison(self.now_ms())
    }

    /// Records poison requests that a peer or the store names.
    pub fn learn_poison_requests(&self, requests: &[RequestKey]) {
        let now_ms = self.now_ms();
        let mut tracker = self.poison_tracker.borrow_mut();
        for request in requests {
            if tracker.mark_poison(now_ms, *request) {
                let answered = FailureEvidence::Answered(*request);
                self.gossip.borrow_mut().add_evidence(answered);
            }
        }
    }

    /// What this instance has to write to the store of requests under which upstreams ended.
    pub fn poison_store_steps(&self) -> Vec<StoreStep> {
        self.poison_tracker.borrow().store_steps(self.now_ms())
    }

    /// Whether gossip of peers arrives.
    pub fn has_senders(&self) -> bool {
        self.gossip.borrow().has_senders()
    }

    /// Whether there are other instances but no gossip arrives from any of them.
    pub fn receives_no_gossip(&self) -> bool {
        !self.has_senders() && self.instance_count() > 1
    }

    /// The record for the store of a poison request detected now.
    pub fn poison_record(&self, request: RequestKey) -> PoisonRecord {
        PoisonRecord {
            found_unix_ms: unix_ms(),
            failed_trials: self.failed_part_trials(request),
            trials: Some(self.poison_tracker.borrow().trial_count(request)).filter(|it| *it > 0),
        }
    }

    /// Applies a record from the store, unless the request is old enough to be forgotten.
    pub fn load_poison_record(&self, request: RequestKey, record: PoisonRecord) {
        if unix_ms() < record.found_unix_ms.saturating_add(RETENTION_MS) {
            self.learn_poison_requests(&[request]);
            let trials = record.trials.or(record.failed_trials).unwrap_or_default();
            self.learn_trial_counts(&[(request, trials)]);
            self.poison_request_saved(request, record);
            self.learn_convicted_part(request, record);
        }
    }

    /// Marks saved poison requests as unsaved: the store may have lost their records.
    pub fn poison_records_may_be_lost(&self) {
        self.poison_tracker.borrow_mut().mark_all_unsaved();
    }

    /// Notes that the store has this record of a poison request.
    pub fn poison_request_saved(&self, request: RequestKey, record: PoisonRecord) {
        let trials = record.trials.unwrap_or_default();
        self.poison_tracker.borrow_mut().mark_saved(request, trials);
    }

    /// Notes that the store has dropped the record of a request that was cleared.
    pub fn poison_record_dropped(&self, request: RequestKey) {
        self.poison_tracker.borrow_mut().mark_dropped(request);
    }

    /// Logs each request that has become known as a poison request.
    pub(super) fn log_new_poison_requests(&self) {
        let found = self
            .poison_tracker
            .borrow_mut()
            .take_new_poison(self.now_ms());
        for request in found {
            let Losses {
                upstreams_lost,
                upstreams_ended,
                ends_within_ms,
            } = self.poison_tracker.borrow().losses(request);
            log::warn!(
                key:% = request, upstreams_lost, upstreams_ended, ends_within_ms;
                "request refused from now on: it terminates upstreams"
            );
        }
    }

    /// Applies the failure attributions and poison requests that a peer gossiped.
    pub(super) fn apply_attributions(&self, now_ms: u64, message: &GossipMessage) {
        for evidence in &message.evidence {
            self.log_cleared(*evidence, "peer");
            if !self.poison_tracker.borrow_mut().receive(now_ms, *evidence) {
                continue;
            }
            self.gossip
                .borrow_mut()
                .forward_evidence(*evidence, message.kind);
            if let FailureEvidence::Ended(upstream) = evidence {
                self.accuse_parts(*upstream);
            }
        }
        self.learn_poison_requests(&message.poison);
        self.apply_trials(now_ms, message);
    }
}
