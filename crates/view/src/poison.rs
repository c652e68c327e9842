//! Requests that end whichever upstream runs them.
//!
//! Load pattern: one request crashes each engine that begins to answer it, with all that the engine has in
//! hand. It is sent on, its caller comes back with it, at any instance, each time under a new attempt's id.
//! Held against the engine alone, each loss seems another engine's fault, and one request takes all engines for output down
//! again and again.
//!
//! So losses are held against the request as well, by what it asks and not by its attempt, and what one
//! instance sees all know. Whoever is served whole is no longer suspected. See docs/design/retries.md.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{RequestKey, UpstreamKey};

/// Upstreams that ended under a request after which none gets it any more. Under one, others may run it,
/// since upstreams end of themselves too. A third one is not risked: it would go with all that it runs, 9 to
/// 37 answers in the one case seen, while few requests meet two upstreams that end of themselves.
const MOST_ENDED: usize = 2;

/// Time for which a request is remembered that came no more, in ms: far longer than callers take to come back
/// by themselves, and short enough that what was mended at the upstreams is found out.
pub const RETENTION_MS: u64 = 3_600_000;

/// Requests, and upstreams that ended, that are remembered: the losses of hundreds of engines with a dozen
/// answers each that all end at once. About 100 bytes each.
const MOST: usize = 4_096;

/// Losses that are remembered of one request: more than it takes to refuse it.
const MOST_LOSSES: usize = 8;

/// Poisonous requests that are told in one datagram, those that came last: more than can end upstreams at the
/// same time before the fleet has none left.
const MOST_TOLD: usize = 32;

/// Something that tells whether a request or its upstream is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FailureEvidence {
    /// The upstream's connection ended under the request, without a whole answer.
    Lost {
        /// The request.
        request: RequestKey,
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// The upstream has ended after such a loss: it takes no connection any more, or is no longer listed. One
    /// that closed a connection and lives says nothing against the request: among 189 answers that were reset
    /// at random in a minute, five requests met three such upstreams.
    Ended(UpstreamKey),
    /// An upstream answered the request whole, so it is none that ends them.
    Answered(RequestKey),
}

/// Whether the store is to be told of a request, should it turn out poisonous.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Record {
    /// By others, which saw upstreams end under it.
    #[default]
    Others,
    /// By this instance, which saw one end.
    Own,
    /// It was.
    Kept,
}

#[derive(Debug, Default)]
struct Suspect {
    lost: Vec<UpstreamKey>,
    /// Losses from before it was answered. Heard of once more on their way through the instances, they count
    /// no second time.
    cleared: Vec<UpstreamKey>,
    /// Another instance, or the store, says that it is poisonous.
    is_told: bool,
    record: Record,
    is_noted: bool,
    at_ms: u64,
}

impl Suspect {
    fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + RETENTION_MS
    }

    fn is_poisonous(&self, now_ms: u64, ended: &HashMap<UpstreamKey, u64>) -> bool {
        let ended = |key: &&UpstreamKey| ended.contains_key(key);
        let is_guilty = self.is_told || self.lost.iter().filter(ended).count() >= MOST_ENDED;
        is_guilty && !self.is_old(now_ms)
    }
}

/// Requests under which upstreams broke off lately, by the word of all instances.
#[derive(Debug, Default)]
pub struct PoisonTracker {
    requests: HashMap<RequestKey, Suspect>,
    ended: HashMap<UpstreamKey, u64>,
}

impl PoisonTracker {
    /// Something was seen here; gives whether it says something new.
    pub fn observe(&mut self, now_ms: u64, fate: FailureEvidence) -> bool {
        let is_news = self.receive(now_ms, fate);
        if let FailureEvidence::Lost { request, .. } = fate
            && let Some(suspect) = self.requests.get_mut(&request)
            && suspect.record == Record::Others
        {
            suspect.record = Record::Own;
        }
        is_news
    }

    /// Something was seen here or by another instance; gives whether it says something new.
    pub fn receive(&mut self, now_ms: u64, fate: FailureEvidence) -> bool {
        match fate {
            FailureEvidence::Lost { request, upstream } => self.lost(now_ms, request, upstream),
            FailureEvidence::Ended(upstream) => self.ended(now_ms, upstream),
            FailureEvidence::Answered(request) => self.answered(request),
        }
    }

    fn lost(&mut self, now_ms: u64, request: RequestKey, upstream: UpstreamKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if suspect.is_old(now_ms) {
            *suspect = Suspect::default();
        }
        let is_known = suspect.lost.contains(&upstream) || suspect.cleared.contains(&upstream);
        if is_known || suspect.lost.len() >= MOST_LOSSES {
            return false;
        }
        suspect.lost.push(upstream);
        suspect.at_ms = now_ms;
        self.forget(now_ms);
        true
    }

    fn ended(&mut self, now_ms: u64, upstream: UpstreamKey) -> bool {
        if self.ended.len() >= MOST {
            self.ended.retain(|_, at_ms| now_ms < *at_ms + RETENTION_MS);
            let oldest = self.ended.iter().min_by_key(|(_, at_ms)| **at_ms);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.ended.remove(&oldest);
            }
        }
        self.ended.insert(upstream, now_ms).is_none()
    }

    /// An upstream is no longer listed, which says something if it was lost under a request before.
    pub fn upstream_unlisted(&mut self, now_ms: u64, upstream: UpstreamKey) {
        let is_lost = |suspect: &Suspect| suspect.lost.contains(&upstream);
        if self.requests.values().any(is_lost) {
            self.ended(now_ms, upstream);
        }
    }

    fn answered(&mut self, request: RequestKey) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        let was_suspected = suspect.is_told || !suspect.lost.is_empty();
        suspect.is_told = false;
        let lost = std::mem::take(&mut suspect.lost);
        suspect.cleared.extend(lost);
        was_suspected
    }

    /// Another instance, or the store, says that a request is poisonous.
    pub fn mark_poison(&mut self, now_ms: u64, request: RequestKey) {
        let suspect = self.requests.entry(request).or_default();
        // Its answer is known here, and may not be there yet.
        if !suspect.cleared.is_empty() || (suspect.is_told && !suspect.is_old(now_ms)) {
            return;
        }
        suspect.is_told = true;
        suspect.at_ms = now_ms;
        self.forget(now_ms);
    }

    /// Whether no upstream may get a request any more.
    pub fn is_poison(&self, now_ms: u64, request: RequestKey) -> bool {
        let suspect = self.requests.get(&request);
        suspect.is_some_and(|suspect| suspect.is_poisonous(now_ms, &self.ended))
    }

    /// Upstreams of which it would tell that a request is poisonous if they have ended.
    pub fn undecided_upstreams(&self, request: RequestKey) -> Vec<UpstreamKey> {
        let Some(suspect) = self.requests.get(&request) else {
            return Vec::new();
        };
        let (ended, others): (Vec<UpstreamKey>, Vec<UpstreamKey>) = suspect
            .lost
            .iter()
            .partition(|upstream| self.ended.contains_key(upstream));
        if ended.len() + 1 == MOST_ENDED {
            others
        } else {
            Vec::new()
        }
    }

    /// Whether an answer to a request says anything.
    pub fn is_tracked(&self, request: RequestKey) -> bool {
        self.requests.contains_key(&request)
    }

    /// A request came that was refused, and is to be remembered for longer.
    pub fn record_refusal(&mut self, now_ms: u64, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.at_ms = now_ms;
        }
    }

    /// The poisonous requests that came last.
    ///
    /// They are told over and over, so that an instance that was frozen, cut off or started meanwhile knows of
    /// them from the first datagram, and does not have to lose upstreams of its own.
    pub fn recent_poison(&self, now_ms: u64) -> Vec<RequestKey> {
        let poisonous = self.requests.iter();
        let mut poisonous: Vec<(u64, RequestKey)> = poisonous
            .filter(|(_, suspect)| suspect.is_poisonous(now_ms, &self.ended))
            .map(|(request, suspect)| (suspect.at_ms, *request))
            .collect();
        poisonous.sort_unstable_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        poisonous.truncate(MOST_TOLD);
        poisonous.into_iter().map(|(_, request)| request).collect()
    }

    /// Poisonous requests that this was not asked for yet, each with the upstreams lost under it.
    pub fn take_new_poison(&mut self, now_ms: u64) -> Vec<(RequestKey, usize)> {
        let mut found = Vec::new();
        for (request, suspect) in &mut self.requests {
            if !suspect.is_noted && suspect.is_poisonous(now_ms, &self.ended) {
                suspect.is_noted = true;
                found.push((*request, suspect.lost.len()));
            }
        }
        found
    }

    /// Poisonous requests that were found out here and that the store does not know yet.
    pub fn unsaved(&self, now_ms: u64) -> Vec<RequestKey> {
        let unkept = |suspect: &Suspect| suspect.record == Record::Own;
        self.requests
            .iter()
            .filter(|(_, suspect)| unkept(suspect) && suspect.is_poisonous(now_ms, &self.ended))
            .map(|(request, _)| *request)
            .collect()
    }

    /// The store knows that a request is poisonous.
    pub fn mark_saved(&mut self, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.record = Record::Kept;
        }
    }

    /// What was told to the store may be lost there.
    pub fn mark_all_unsaved(&mut self) {
        for suspect in self.requests.values_mut() {
            if suspect.record == Record::Kept {
                suspect.record = Record::Own;
            }
        }
    }

    /// Drops what is old, and what came longest ago where there is too much; those that are poisonous last.
    fn forget(&mut self, now_ms: u64) {
        if self.requests.len() <= MOST {
            return;
        }
        let ended = &self.ended;
        self.requests.retain(|_, suspect| !suspect.is_old(now_ms));
        let age = |suspect: &Suspect| (suspect.is_poisonous(now_ms, ended), suspect.at_ms);
        let first = self.requests.iter().min_by_key(|(_, it)| age(it));
        let first = first.map(|(request, _)| *request);
        if let Some(first) = first.filter(|_| self.requests.len() > MOST) {
            self.requests.remove(&first);
        }
    }
}
