//! Requests that end the upstreams that run them, as far as this instance knows.

use serde::{Deserialize, Serialize};
use view::suspects::REMEMBERED_MS;
use view::{Fate, RequestKey, Told};

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
        let deciding = self.suspects.borrow().deciding(call.key);
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
        if !suspects.is_poisonous(now_ms, call.key) {
            return Ok(());
        }
        suspects.refused(now_ms, call.key);
        Err(Refusal::new(Reason::PoisonRequest))
    }

    /// Something was seen that tells whether a request or its upstream is to blame.
    pub fn record_attribution(&self, fate: Fate) {
        let now_ms = self.now_ms();
        if self.suspects.borrow_mut().saw(now_ms, fate) {
            self.gossip.borrow_mut().add_fate(fate);
        }
    }

    /// An incarnation of an upstream is no longer used.
    pub(super) fn note_left(&self, id: &str) {
        let left = self.upstreams.borrow().last_removed(id);
        if let Some(upstream) = left {
            self.suspects.borrow_mut().left(self.now_ms(), upstream);
        }
    }

    /// A request was answered whole by an upstream.
    pub fn record_answered(&self, call: &Call) {
        let is_suspected = self.suspects.borrow().is_suspected(call.key);
        if is_suspected {
            self.record_attribution(Fate::Answered(call.key));
        }
    }

    /// The requests under which upstreams end, those that came last.
    pub fn poison_requests(&self) -> Vec<RequestKey> {
        self.suspects.borrow().poisonous(self.now_ms())
    }

    /// Another instance, or the store, says that upstreams end under these requests.
    pub fn learn_poison_requests(&self, requests: &[RequestKey]) {
        let now_ms = self.now_ms();
        let mut suspects = self.suspects.borrow_mut();
        for request in requests {
            suspects.told(now_ms, *request);
        }
    }

    /// Requests that were found out here and of which the store does not know yet.
    pub fn unsaved_poison_requests(&self) -> Vec<RequestKey> {
        self.suspects.borrow().unkept(self.now_ms())
    }

    /// Whether there are other instances, and none of them says what it knows.
    pub fn hears_no_peer(&self) -> bool {
        !self.gossip.borrow().hears() && self.instance_count() > 1
    }

    /// What the store is told of such a request.
    pub fn poison_record(&self) -> PoisonRecord {
        PoisonRecord {
            found_unix_ms: unix_ms(),
        }
    }

    /// The store says that upstreams ended under a request.
    pub fn load_poison_record(&self, request: RequestKey, record: PoisonRecord) {
        if unix_ms() < record.found_unix_ms.saturating_add(REMEMBERED_MS) {
            self.learn_poison_requests(&[request]);
            self.poison_request_saved(request);
        }
    }

    /// The store may have lost what it knew, and is to be told again.
    pub fn poison_records_may_be_lost(&self) {
        self.suspects.borrow_mut().may_be_lost();
    }

    /// The store knows of such a request.
    pub fn poison_request_saved(&self, request: RequestKey) {
        self.suspects.borrow_mut().kept(request);
    }

    /// Writes a line on each request that is refused from now on.
    pub(super) fn note_poisonous(&self) {
        let found = self.suspects.borrow_mut().newly_poisonous(self.now_ms());
        for (request, upstreams_lost) in found {
            log::warn!(key:% = request, upstreams_lost; "request refused from now on: upstreams end under it");
        }
    }

    pub(super) fn take_fates(&self, now_ms: u64, told: &Told) {
        let mut suspects = self.suspects.borrow_mut();
        for fate in &told.fates {
            if suspects.heard(now_ms, *fate) {
                self.gossip.borrow_mut().pass_on_fate(*fate, told.kind);
            }
        }
        for request in &told.poisonous {
            suspects.told(now_ms, *request);
        }
    }
}
