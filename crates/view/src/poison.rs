//! Detects poison requests, which crash every upstream that runs them.
//!
//! A poison request crashes each engine that begins to answer it, together with everything else
//! that the engine runs. Instances retry it, its caller may resend it to any instance, and each
//! attempt has a new id. If losses counted only against the engine, each would look like the fault
//! of another engine, and one request would take down all decode engines, one after the other.
//!
//! So losses count against the request as well, identified by its content and not by its attempt,
//! and instances gossip the evidence that they observe. A request that gets a complete answer is
//! cleared. See docs/design/retries.md.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{RequestKey, UpstreamKey};

/// Upstreams that must end under a request before it counts as poison. After one end, other
/// upstreams may still run it, since upstreams also end for reasons of their own. A third is not
/// risked: an engine that ends takes its running answers along (9 to 37 in an observed case), while
/// few requests meet two upstreams that end for their own reasons.
const ENDED_THRESHOLD: usize = 2;

/// Time for which a request waits until it is known whether the first upstream that lost its answer has ended, in ms. It
/// may meet one more in any case, so a caller is not kept waiting for one that ends slowly.
const FIRST_LOSS_WAIT_MS: u64 = 100;

/// How long a request is remembered after it last arrived, in ms: far longer than callers wait
/// before they retry, and short enough to find out that the upstreams have been fixed.
pub const RETENTION_MS: u64 = 3_600_000;

/// Most requests, and most ended upstreams, that are tracked: the losses of hundreds of engines
/// with a dozen answers each that all end at once. About 100 bytes each.
const MAX_TRACKED: usize = 4_096;

/// Most losses tracked per request: more than it takes to refuse it.
const MAX_LOSSES: usize = 8;

/// Most poison requests in one datagram, the most recent ones: more than can end upstreams at the
/// same time before the fleet has none left.
const MAX_PER_MESSAGE: usize = 32;

/// Evidence for failure attribution: whether a request or its upstream is at fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureEvidence {
    /// The connection to the upstream ended before the answer was complete.
    Lost {
        /// The request that was running.
        request: RequestKey,
        /// The upstream that was running it.
        upstream: UpstreamKey,
    },
    /// The upstream ended after such a loss: it accepts no connections or is no longer listed. A
    /// connection that an upstream closes while it stays up is no evidence against the request:
    /// among 189 answers that were reset at random within a minute, five requests met three such
    /// upstreams.
    Ended(UpstreamKey),
    /// An upstream answered the request completely, so the request is not poison.
    Answered(RequestKey),
    /// The connection was lost because the instance was cut off from all upstreams, which says nothing against the
    /// request.
    Excused {
        /// The request that was running.
        request: RequestKey,
        /// The upstream to which the connection was lost.
        upstream: UpstreamKey,
    },
}

/// Whether this instance must write a request to the store once it counts as poison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum StoreRecord {
    /// No: only peers have seen upstreams end under it.
    #[default]
    PeersOnly,
    /// Yes: this instance has seen one end.
    Unsaved,
    /// No longer: the store has it.
    Saved,
}

#[derive(Debug, Default)]
struct Suspect {
    lost: Vec<UpstreamKey>,
    /// Losses from before the request was answered. They are not counted when gossip repeats them.
    cleared: Vec<UpstreamKey>,
    /// Losses that were the fault of an instance's own path. They are not counted either.
    excused: Vec<UpstreamKey>,
    /// Whether a peer or the store has reported it as poison.
    is_known_poison: bool,
    store_record: StoreRecord,
    is_reported: bool,
    at_ms: u64,
}

impl Suspect {
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + RETENTION_MS
    }

    fn is_poison(&self, now_ms: u64, ended: &HashMap<UpstreamKey, u64>) -> bool {
        let ended = |key: &&UpstreamKey| ended.contains_key(key);
        let is_suspected =
            self.is_known_poison || self.lost.iter().filter(ended).count() >= ENDED_THRESHOLD;
        is_suspected && !self.is_old(now_ms)
    }
}

/// What speaks against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Losses {
    /// Upstreams that lost an answer to it.
    pub upstreams_lost: usize,
    /// Those of them that have ended.
    pub upstreams_ended: usize,
    /// Time between the first and the last of these ends, as this instance learned of them, in ms.
    pub ends_within_ms: u64,
}

/// Requests under which connections to upstreams were lost lately, as seen by all instances.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    requests: HashMap<RequestKey, Suspect>,
    ended: HashMap<UpstreamKey, u64>,
}

impl PoisonTracker {
    /// Processes evidence that this instance observed. Returns whether it is new.
    pub fn observe(&mut self, now_ms: u64, evidence: FailureEvidence) -> bool {
        let is_new = self.receive(now_ms, evidence);
        if let FailureEvidence::Lost { request, .. } = evidence
            && let Some(suspect) = self.requests.get_mut(&request)
            && suspect.store_record == StoreRecord::PeersOnly
        {
            suspect.store_record = StoreRecord::Unsaved;
        }
        is_new
    }

    /// Processes evidence from this instance or a peer. Returns whether it is new.
    pub fn receive(&mut self, now_ms: u64, evidence: FailureEvidence) -> bool {
        match evidence {
            FailureEvidence::Lost { request, upstream } => {
                self.record_loss(now_ms, request, upstream)
            }
            FailureEvidence::Ended(upstream) => self.record_end(now_ms, upstream),
            FailureEvidence::Answered(request) => self.record_answer(request),
            FailureEvidence::Excused { request, upstream } => {
                self.record_excuse(now_ms, request, upstream)
            }
        }
    }

    fn record_excuse(&mut self, now_ms: u64, request: RequestKey, upstream: UpstreamKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if suspect.excused.contains(&upstream) || suspect.excused.len() >= MAX_LOSSES {
            return false;
        }
        suspect.lost.retain(|lost| *lost != upstream);
        suspect.excused.push(upstream);
        suspect.at_ms = suspect.at_ms.max(now_ms);
        self.evict(now_ms);
        true
    }

    fn record_loss(&mut self, now_ms: u64, request: RequestKey, upstream: UpstreamKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if suspect.is_old(now_ms) {
            *suspect = Suspect::default();
        }
        let is_known = suspect.lost.contains(&upstream)
            || suspect.cleared.contains(&upstream)
            || suspect.excused.contains(&upstream);
        if is_known || suspect.lost.len() >= MAX_LOSSES {
            return false;
        }
        suspect.lost.push(upstream);
        suspect.at_ms = now_ms;
        self.evict(now_ms);
        true
    }

    fn record_end(&mut self, now_ms: u64, upstream: UpstreamKey) -> bool {
        if self.ended.len() >= MAX_TRACKED {
            self.ended.retain(|_, at_ms| now_ms < *at_ms + RETENTION_MS);
            let oldest = self.ended.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.ended.remove(&oldest);
            }
        }
        self.ended.insert(upstream, now_ms).is_none()
    }

    /// Records that an upstream is no longer listed. This is evidence if it was lost under a
    /// request before. Returns the number of requests against which it is new evidence.
    pub fn upstream_unlisted(&mut self, now_ms: u64, upstream: UpstreamKey) -> usize {
        let suspects = self.requests.values();
        let accused = suspects.filter(|suspect| suspect.lost.contains(&upstream));
        let accused = accused.count();
        if accused > 0 && self.record_end(now_ms, upstream) {
            accused
        } else {
            0
        }
    }

    /// The upstreams that lost an answer to a request, and how many of them have ended.
    pub fn losses(&self, request: RequestKey) -> Losses {
        let Some(suspect) = self.requests.get(&request) else {
            return Losses::default();
        };
        let ended_ms = suspect.lost.iter().filter_map(|key| self.ended.get(key));
        let ended_ms: Vec<u64> = ended_ms.copied().collect();
        let first_ms = ended_ms.iter().min().copied().unwrap_or_default();
        let last_ms = ended_ms.iter().max().copied().unwrap_or_default();
        Losses {
            upstreams_lost: suspect.lost.len(),
            upstreams_ended: ended_ms.len(),
            ends_within_ms: last_ms - first_ms,
        }
    }

    fn record_answer(&mut self, request: RequestKey) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        let was_suspected = suspect.is_known_poison || !suspect.lost.is_empty();
        suspect.is_known_poison = false;
        let lost = std::mem::take(&mut suspect.lost);
        suspect.cleared.extend(lost);
        was_suspected
    }

    /// Records that a peer or the store has reported a request as poison.
    pub fn mark_poison(&mut self, now_ms: u64, request: RequestKey) {
        let suspect = self.requests.entry(request).or_default();
        // The request was answered; the peer may not have received that evidence yet.
        if !suspect.cleared.is_empty() || (suspect.is_known_poison && !suspect.is_old(now_ms)) {
            return;
        }
        suspect.is_known_poison = true;
        suspect.at_ms = now_ms;
        self.evict(now_ms);
    }

    /// Whether a request must not be sent to any upstream.
    pub fn is_poison(&self, now_ms: u64, request: RequestKey) -> bool {
        let suspect = self.requests.get(&request);
        suspect.is_some_and(|suspect| suspect.is_poison(now_ms, &self.ended))
    }

    /// Upstreams lost under a request that are not known to have ended, unless the request is poison already.
    pub fn undecided_upstreams(&self, request: RequestKey) -> Vec<UpstreamKey> {
        let Some(suspect) = self.requests.get(&request) else {
            return Vec::new();
        };
        let (ended, undecided): (Vec<UpstreamKey>, Vec<UpstreamKey>) = suspect
            .lost
            .iter()
            .partition(|upstream| self.ended.contains_key(upstream));
        if ended.len() < ENDED_THRESHOLD {
            undecided
        } else {
            Vec::new()
        }
    }

    /// Whether a request waits before its next send, because upstreams that lost its answer may have ended.
    /// `inquiry_age_ms` gives the time for which it has been asked whether an upstream has ended, if that is not known.
    ///
    /// An upstream that is not known to live counts as ended until then: taken for alive because it has not refused a
    /// connection yet, it would let the request end one more.
    pub fn is_in_doubt(
        &self,
        request: RequestKey,
        inquiry_age_ms: impl Fn(UpstreamKey) -> Option<u64>,
    ) -> bool {
        let undecided = self.undecided_upstreams(request);
        let ages: Vec<u64> = undecided.into_iter().filter_map(inquiry_age_ms).collect();
        let Some(youngest_ms) = ages.iter().min() else {
            return false;
        };
        self.ended_under(request) + ages.len() >= ENDED_THRESHOLD
            || *youngest_ms < FIRST_LOSS_WAIT_MS
    }

    /// When a request last lost an answer, if so many upstreams lost one that it is poison should all have ended.
    pub fn critical_loss_ms(&self, request: RequestKey) -> Option<u64> {
        let suspect = self.requests.get(&request)?;
        (suspect.lost.len() >= ENDED_THRESHOLD).then_some(suspect.at_ms)
    }

    fn ended_under(&self, request: RequestKey) -> usize {
        let Some(suspect) = self.requests.get(&request) else {
            return 0;
        };
        let ended = |key: &&UpstreamKey| self.ended.contains_key(key);
        suspect.lost.iter().filter(ended).count()
    }

    /// Whether an answer to the request would be evidence.
    pub fn is_tracked(&self, request: RequestKey) -> bool {
        self.requests.contains_key(&request)
    }

    /// Records that a request arrived and was refused, so that it is remembered for longer.
    pub fn record_refusal(&mut self, now_ms: u64, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.at_ms = now_ms;
        }
    }

    /// The poison requests that arrived last.
    ///
    /// Instances gossip them all the time, so that a peer that was frozen, cut off or just started
    /// knows them from the first datagram and need not lose upstreams of its own.
    pub fn recent_poison(&self, now_ms: u64) -> Vec<RequestKey> {
        let found = self.requests.iter();
        let mut found: Vec<(u64, RequestKey)> = found
            .filter(|(_, suspect)| suspect.is_poison(now_ms, &self.ended))
            .map(|(request, suspect)| (suspect.at_ms, *request))
            .collect();
        found.sort_unstable_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        found.truncate(MAX_PER_MESSAGE);
        found.into_iter().map(|(_, request)| request).collect()
    }

    /// Poison requests that earlier calls have not returned.
    pub fn take_new_poison(&mut self, now_ms: u64) -> Vec<RequestKey> {
        let mut found = Vec::new();
        for (request, suspect) in &mut self.requests {
            if !suspect.is_reported && suspect.is_poison(now_ms, &self.ended) {
                suspect.is_reported = true;
                found.push(*request);
            }
        }
        found
    }

    /// Poison requests that were detected here and are not in the store yet.
    pub fn unsaved(&self, now_ms: u64) -> Vec<RequestKey> {
        let is_unsaved = |suspect: &Suspect| suspect.store_record == StoreRecord::Unsaved;
        self.requests
            .iter()
            .filter(|(_, suspect)| is_unsaved(suspect) && suspect.is_poison(now_ms, &self.ended))
            .map(|(request, _)| *request)
            .collect()
    }

    /// Records that the store has a poison request.
    pub fn mark_saved(&mut self, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.store_record = StoreRecord::Saved;
        }
    }

    /// Records that what the store has of a poison request is out of date.
    pub fn mark_unsaved(&mut self, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.store_record = StoreRecord::Unsaved;
        }
    }

    /// Whether an upstream is known to have ended.
    pub fn has_ended(&self, upstream: UpstreamKey) -> bool {
        self.ended.contains_key(&upstream)
    }

    /// Records that the store may have lost what was written to it.
    pub fn mark_all_unsaved(&mut self) {
        for suspect in self.requests.values_mut() {
            if suspect.store_record == StoreRecord::Saved {
                suspect.store_record = StoreRecord::Unsaved;
            }
        }
    }

    /// If too many requests are tracked, drops old ones and then the one that arrived longest ago,
    /// poison requests last.
    fn evict(&mut self, now_ms: u64) {
        if self.requests.len() <= MAX_TRACKED {
            return;
        }
        let ended = &self.ended;
        self.requests.retain(|_, suspect| !suspect.is_old(now_ms));
        let age = |suspect: &Suspect| (suspect.is_poison(now_ms, ended), suspect.at_ms);
        let first = self.requests.iter().min_by_key(|(_, it)| age(it));
        let first = first.map(|(request, _)| *request);
        if let Some(first) = first.filter(|_| self.requests.len() > MAX_TRACKED) {
            self.requests.remove(&first);
        }
    }
}
