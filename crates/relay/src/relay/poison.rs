//! Requests that end the upstreams that run them, as far as this instance knows.

use serde::{Deserialize, Serialize};
use view::poison::RETENTION_MS;
use view::{FailureEvidence, GossipMessage, RequestKey};

use super::Relay;
use super::peers::unix_ms;
use crate::answer::{Reason, Refusal};
use crate::call::Call;

/// What the store is told of a request under which upstreams end.
///
/// Were all instances killed at once, each would otherwise have to lose upstreams again to find it out.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PoisonRecord {
    /// Time of day at which it was found out, in ms.
    pub found_unix_ms: u64,
}

impl Relay {
    /// Whether it is being found out if one more upstream has ended under a request that has met one end.
    pub fn is_attribution_pending(&self, call: &Call) -> bool {
        let deciding = self.suspects.borrow().undecided_upstreams(call.key);
        let upstreams = self.upstreams.borrow();
        let known = deciding.iter().filter_map(|key| upstreams.get_by_key(*key));
        known
            .into_iter()
            .any(|upstream| upstream.is_health_check_running())
    }

    /// Refuses a request under which upstreams end, as far as is known now; see [`crate::attribution::ensure_not_poison`].
    pub fn check_poison(&self, call: &Call) -> Result<(), Refusal> {
        let now_ms = self.now_ms();
        let mut suspects = self.suspects.borrow_mut();
        if !suspects.is_poison(now_ms, call.key) {
            return Ok(());
        }
        suspects.record_refusal(now_ms, call.key);
        Err(Refusal::new(Reason::PoisonRequest))
    }

    /// Something was seen that tells whether a request or its upstream is to blame.
    pub fn record_attribution(&self, fate: FailureEvidence) {
        let now_ms = self.now_ms();
        if self.suspects.borrow_mut().observe(now_ms, fate) {
            self.gossip.borrow_mut().add_evidence(fate);
        }
    }

    /// An incarnation of an upstream is no longer used.
    pub(super) fn note_left(&self, id: &str) {
        let left = self.upstreams.borrow().last_removed(id);
        if let Some(upstream) = left {
            self.suspects
                .borrow_mut()
                .upstream_unlisted(self.now_ms(), upstream);
        }
    }

    /// A request was answered whole by an upstream.
    pub fn record_answered(&self, call: &Call) {
        let is_suspected = self.suspects.borrow().is_tracked(call.key);
        if is_suspected {
            self.record_attribution(FailureEvidence::Answered(call.key));
        }
    }

    /// The requests under which upstreams end, those that came last.
    pub fn poison_requests(&self) -> Vec<RequestKey> {
        self.suspects.borrow().recent_poison(self.now_ms())
    }

    /// Another instance, or the store, says that upstreams end under these requests.
    pub fn learn_poison_requests(&self, requests: &[RequestKey]) {
        let now_ms = self.now_ms();
        let mut suspects = self.suspects.borrow_mut();
        for request in requests {
            suspects.mark_poison(now_ms, *request);
        }
    }

    /// Requests that were found out here and of which the store does not know yet.
    pub fn unsaved_poison_requests(&self) -> Vec<RequestKey> {
        self.suspects.borrow().unsaved(self.now_ms())
    }

    /// Whether there are other instances, and none of them says what it knows.
    pub fn hears_no_peer(&self) -> bool {
        !self.gossip.borrow().has_senders() && self.instance_count() > 1
    }

    /// What the store is told of such a request.
    pub fn poison_record(&self) -> PoisonRecord {
        PoisonRecord {
            found_unix_ms: unix_ms(),
        }
    }

    /// The store says that upstreams ended under a request.
    pub fn load_poison_record(&self, request: RequestKey, record: PoisonRecord) {
        if unix_ms() < record.found_unix_ms.saturating_add(RETENTION_MS) {
            self.learn_poison_requests(&[request]);
            self.poison_request_saved(request);
        }
    }

    /// The store may have lost what it knew, and is to be told again.
    pub fn poison_records_may_be_lost(&self) {
        self.suspects.borrow_mut().mark_all_unsaved();
    }

    /// The store knows of such a request.
    pub fn poison_request_saved(&self, request: RequestKey) {
        self.suspects.borrow_mut().mark_saved(request);
    }

    /// Writes a line on each request that is refused from now on.
    pub(super) fn note_poisonous(&self) {
        let found = self.suspects.borrow_mut().take_new_poison(self.now_ms());
        for (request, upstreams_lost) in found {
            log::warn!(key:% = request, upstreams_lost; "request refused from now on: upstreams end under it");
        }
    }

    pub(super) fn take_fates(&self, now_ms: u64, told: &GossipMessage) {
        let mut suspects = self.suspects.borrow_mut();
        for fate in &told.evidence {
            if suspects.receive(now_ms, *fate) {
                self.gossip.borrow_mut().forward_evidence(*fate, told.kind);
            }
        }
        for request in &told.poison {
            suspects.mark_poison(now_ms, *request);
        }
    }
}
