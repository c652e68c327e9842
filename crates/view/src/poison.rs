//! Detects poison requests, which crash every upstream that runs them.
//!
//! A poison request crashes each engine that begins to answer it, together with everything else
//! that the engine runs. Instances retry it, its caller may resend it to any instance, and each
//! attempt has a new id. If losses counted only against the engine, each would look like the fault
//! of another engine, and one request would take down all decode engines, one after the other.
//!
//! So losses count against the request as well, identified by its content and not by its attempt,
//! and instances gossip the evidence that they observe. Ends alone prove nothing: a request that many
//! callers send is under way at nearly any end. So a suspected request is held and tried again
//! ([`crate::trials`]), and a complete answer clears it. See docs/design/retries.md.

mod suspect;

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use self::suspect::{ENDED_THRESHOLD, LOSS_COUNTS_MS, Loss, StoreRecord, Suspect, UpstreamEnd};
use crate::trials::{RequestTrial, TrialNews, TrialStep, Trials, spread_ms};
use crate::{InstanceKey, RequestKey, UpstreamKey};

/// Time for which a request waits until it is known whether the first upstream that lost its answer has ended, in ms. It
/// may meet one more in any case, so a caller is not kept waiting for one that ends slowly.
const FIRST_LOSS_WAIT_MS: u64 = 100;

/// Time after a loss in which a request is not sent on while its upstreams may have ended, in ms: the list has dropped
/// those that have.
pub const DOUBT_MS: u64 = 10_000;

/// How long a request is remembered after it last arrived, in ms: far longer than callers wait
/// before they retry, and short enough to find out that the upstreams have been fixed.
pub const RETENTION_MS: u64 = 3_600_000;

/// Most requests, and most ended upstreams, that are tracked: the losses of hundreds of engines
/// with a dozen answers each that all end at once. About 100 bytes each.
const MAX_TRACKED: usize = 4_096;

/// Most losses tracked per request: more than it takes to hold it.
const MAX_LOSSES: usize = 8;

/// Shortest time between two tellings that a request was answered, in ms: more than gossip needs to reach all.
const OBJECTION_PAUSE_MS: u64 = 500;

/// Time for which refused callers are told to stay away while a trial is under way, in ms.
const TRIAL_RETRY_MS: u64 = 500;

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

/// What an instance has to write to the store of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// Write that it is held, and the number of its trials.
    Write(RequestKey),
    /// Drop its record.
    Drop(RequestKey),
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestVerdict {
    /// Nothing speaks against it.
    Allowed,
    /// It may be sent once, as the trial with this number.
    MayTry(u8),
    /// Its trial is under way, and may clear it soon.
    TrialRunning,
    /// The next trial is due in this many ms.
    Held(u64),
    /// All trials ended their upstreams.
    Refused,
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
    ended: HashMap<UpstreamKey, UpstreamEnd>,
    /// Upstreams that gave this instance a sign of life after a loss.
    alive: HashMap<UpstreamKey, u64>,
}

impl PoisonTracker {
    /// Processes evidence that this instance observed. Returns whether it is new.
    pub fn observe(&mut self, now_ms: u64, evidence: FailureEvidence) -> bool {
        let was_held = match evidence {
            FailureEvidence::Answered(request) => self.is_poison(now_ms, request),
            _ => false,
        };
        let is_new = self.receive(now_ms, evidence);
        let (FailureEvidence::Lost { request, .. } | FailureEvidence::Answered(request)) = evidence
        else {
            return is_new;
        };
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.store_record = match (evidence, suspect.store_record) {
                (FailureEvidence::Answered(_), _) if was_held => StoreRecord::ToDrop,
                (FailureEvidence::Lost { .. }, StoreRecord::PeersOnly | StoreRecord::ToDrop) => {
                    StoreRecord::Unsaved
                }
                (_, record) => record,
            };
        }
        is_new
    }

    /// Processes evidence from this instance or a peer. Returns whether it is new.
    pub fn receive(&mut self, now_ms: u64, evidence: FailureEvidence) -> bool {
        match evidence {
            FailureEvidence::Lost { request, upstream } => {
                self.record_loss(now_ms, request, upstream)
            }
            FailureEvidence::Ended(upstream) => self.record_end(now_ms, upstream, false),
            FailureEvidence::Answered(request) => self.record_answer(now_ms, request),
            FailureEvidence::Excused { request, upstream } => {
                self.record_excuse(now_ms, request, upstream)
            }
        }
    }

    /// An excuse holds only for an upstream that lives: whether a path was cut or not, one that is found to have ended
    /// has ended.
    fn record_excuse(&mut self, now_ms: u64, request: RequestKey, upstream: UpstreamKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if let Some(loss) = suspect.loss_mut(upstream) {
            return !std::mem::replace(&mut loss.is_excused, true);
        }
        if suspect.losses.len() >= MAX_LOSSES {
            return false;
        }
        suspect.losses.push(Loss {
            upstream,
            at_ms: now_ms,
            is_excused: true,
        });
        suspect.at_ms = suspect.at_ms.max(now_ms);
        suspect.note_ends(now_ms, &self.ended);
        self.evict(now_ms);
        true
    }

    fn record_loss(&mut self, now_ms: u64, request: RequestKey, upstream: UpstreamKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if suspect.is_old(now_ms) {
            *suspect = Suspect::default();
        }
        let is_known = suspect.loss_mut(upstream).is_some() || suspect.was_cleared(upstream);
        if is_known {
            return false;
        }
        // Those that no end can count against any more make room; a younger one that gossip repeats would be new for ever.
        if suspect.losses.len() >= MAX_LOSSES && suspect.trials.is_none() {
            suspect
                .losses
                .retain(|loss| now_ms <= loss.at_ms + LOSS_COUNTS_MS);
        }
        if suspect.losses.len() >= MAX_LOSSES {
            return false;
        }
        suspect.losses.push(Loss {
            upstream,
            at_ms: now_ms,
            is_excused: false,
        });
        suspect.at_ms = now_ms;
        suspect.note_ends(now_ms, &self.ended);
        self.evict(now_ms);
        true
    }

    fn record_end(&mut self, now_ms: u64, upstream: UpstreamKey, is_listed: bool) -> bool {
        if self.ended.len() >= MAX_TRACKED {
            self.ended
                .retain(|_, end| now_ms < end.at_ms + RETENTION_MS);
            let oldest = self.ended.iter().min_by_key(|(_, end)| end.at_ms);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.ended.remove(&oldest);
            }
        }
        let known = self.ended.get(&upstream).copied();
        // The same end is told again later; an upstream that is known by its name alone may end a second time.
        let is_same = |end: &UpstreamEnd| now_ms <= end.at_ms + LOSS_COUNTS_MS;
        let end = UpstreamEnd {
            at_ms: known.filter(is_same).map_or(now_ms, |end| end.at_ms),
            is_listed: is_listed || known.is_some_and(|end| end.is_listed),
        };
        self.ended.insert(upstream, end);
        for suspect in self.requests.values_mut() {
            if suspect.loss_mut(upstream).is_some() {
                suspect.note_ends(now_ms, &self.ended);
            }
        }
        known.is_none()
    }

    /// Records that an upstream gave this instance a sign of life: what it lost before was a connection.
    pub fn record_alive(&mut self, now_ms: u64, upstream: UpstreamKey) {
        if self.alive.len() >= MAX_TRACKED {
            self.alive.retain(|_, at_ms| now_ms < *at_ms + DOUBT_MS);
        }
        self.alive.insert(upstream, now_ms);
    }

    /// Records that an upstream is no longer listed. This is evidence if it was lost under a
    /// request before. Returns the number of requests against which it is new evidence.
    pub fn upstream_unlisted(&mut self, now_ms: u64, upstream: UpstreamKey) -> usize {
        let losses = self.requests.values().flat_map(|suspect| &suspect.losses);
        let losses = losses.filter(|loss| loss.upstream == upstream);
        let accused = losses
            .filter(|loss| now_ms <= loss.at_ms + LOSS_COUNTS_MS)
            .count();
        if accused > 0 && self.record_end(now_ms, upstream, true) {
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
        let ended_ms: Vec<u64> = suspect.ended(&self.ended).collect();
        let first_ms = ended_ms.iter().min().copied().unwrap_or_default();
        let last_ms = ended_ms.iter().max().copied().unwrap_or_default();
        Losses {
            upstreams_lost: suspect.losses.len(),
            upstreams_ended: ended_ms.len(),
            ends_within_ms: last_ms - first_ms,
        }
    }

    /// A whole answer clears a request of all that was held against it, and of its trials.
    fn record_answer(&mut self, now_ms: u64, request: RequestKey) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        let was_suspected = suspect.trials.take().is_some() || !suspect.losses.is_empty();
        let lost = std::mem::take(&mut suspect.losses);
        let cleared = lost.iter().map(|loss| (loss.upstream, now_ms));
        suspect.cleared.extend(cleared);
        // Gossip repeats a loss for a second or two.
        suspect
            .cleared
            .retain(|(_, at_ms)| now_ms <= at_ms + LOSS_COUNTS_MS);
        suspect.is_reported = false;
        suspect.is_cleared = true;
        // Who saw the answer drops the record.
        if suspect.store_record != StoreRecord::ToDrop {
            suspect.store_record = StoreRecord::PeersOnly;
        }
        was_suspected
    }

    /// Records that a peer or the store has reported a request as poison. Returns whether the peer is to be told that it
    /// was answered since, which it may have missed.
    pub fn mark_poison(&mut self, now_ms: u64, request: RequestKey) -> bool {
        let suspect = self.requests.entry(request).or_default();
        if suspect.is_held(now_ms) {
            return false;
        }
        if suspect.is_cleared {
            let is_due = now_ms >= suspect.objected_ms + OBJECTION_PAUSE_MS;
            if is_due {
                suspect.objected_ms = now_ms;
            }
            return is_due;
        }
        suspect.trials = Some(Trials::new(now_ms));
        suspect.at_ms = now_ms;
        self.evict(now_ms);
        false
    }

    /// Whether a request is only sent as a trial, or not at all.
    pub fn is_poison(&self, now_ms: u64, request: RequestKey) -> bool {
        let suspect = self.requests.get(&request);
        suspect.is_some_and(|suspect| suspect.is_held(now_ms))
    }

    /// What becomes of a request at an instance.
    pub fn decide(&self, now_ms: u64, request: RequestKey, own: InstanceKey) -> RequestVerdict {
        let suspect = self.requests.get(&request);
        let Some(trials) = suspect
            .filter(|suspect| !suspect.is_old(now_ms))
            .and_then(|suspect| suspect.trials)
        else {
            return RequestVerdict::Allowed;
        };
        let spread_ms = spread_ms(request, trials.number(), own);
        match trials.step(now_ms, spread_ms) {
            TrialStep::Due(number) => RequestVerdict::MayTry(number),
            TrialStep::Running => RequestVerdict::TrialRunning,
            TrialStep::DueIn(wait_ms) => RequestVerdict::Held(wait_ms.max(TRIAL_RETRY_MS)),
            TrialStep::Over => RequestVerdict::Refused,
        }
    }

    /// Claims the next trial of a request for this instance; the store is to know of it.
    pub fn claim_trial(&mut self, now_ms: u64, trial: RequestTrial) -> bool {
        let Some(suspect) = self.requests.get_mut(&trial.request) else {
            return false;
        };
        let Some(trials) = suspect.trials.as_mut() else {
            return false;
        };
        let is_claimed = trials.claim(now_ms, trial);
        if is_claimed {
            suspect.store_record = StoreRecord::Unsaved;
        }
        is_claimed
    }

    /// Whether the claim of a trial still stands.
    pub fn holds_trial(&self, trial: RequestTrial) -> bool {
        let suspect = self.requests.get(&trial.request);
        let trials = suspect.and_then(|suspect| suspect.trials);
        trials.is_some_and(|trials| trials.holds(trial))
    }

    /// Frees the number of a trial of this instance that was not sent; returns whether peers are to be told.
    pub fn give_back_trial(&mut self, now_ms: u64, trial: RequestTrial) -> bool {
        self.receive_trial(now_ms, TrialNews::Unsent(trial))
    }

    /// Whether the instance that claims a trial missed that this one has sent it already, and has to be told.
    pub fn objects_to_trial(&self, now_ms: u64, own: InstanceKey, trial: RequestTrial) -> bool {
        let suspect = self.requests.get(&trial.request);
        let trials = suspect.and_then(|suspect| suspect.trials);
        trials.is_some_and(|trials| trials.objects(now_ms, own, trial))
    }

    /// Processes what a peer tells of a trial. Returns whether it is new.
    pub fn receive_trial(&mut self, now_ms: u64, news: TrialNews) -> bool {
        match news {
            TrialNews::Claimed(trial) => {
                let suspect = self.requests.entry(trial.request).or_default();
                // The peer may not have heard yet that the request was answered.
                if suspect.trials.is_none() && suspect.is_cleared {
                    return false;
                }
                suspect.at_ms = suspect.at_ms.max(now_ms);
                let trials = suspect.trials.get_or_insert_with(|| Trials::new(now_ms));
                let is_new = trials.claim(now_ms, trial);
                self.evict(now_ms);
                is_new
            }
            TrialNews::Unsent(trial) => {
                let suspect = self.requests.get_mut(&trial.request);
                let trials = suspect.and_then(|suspect| suspect.trials.as_mut());
                trials.is_some_and(|trials| trials.give_back(now_ms, trial))
            }
        }
    }

    /// Learns from a peer or the store how many trials of a request there were, if it is held here.
    pub fn learn_trials(&mut self, now_ms: u64, request: RequestKey, number: u8) {
        let suspect = self.requests.get_mut(&request);
        if let Some(trials) = suspect.and_then(|suspect| suspect.trials.as_mut()) {
            trials.learn(now_ms, number);
        }
    }

    /// Number of trials of a request that is held.
    pub fn trial_count(&self, request: RequestKey) -> u8 {
        let trials = self
            .requests
            .get(&request)
            .and_then(|suspect| suspect.trials);
        trials.map_or(0, |trials| trials.number())
    }

    /// Upstreams lost under a request of which it is not known whether they have ended, unless it is held already.
    pub fn undecided_upstreams(&self, request: RequestKey) -> Vec<UpstreamKey> {
        let Some(suspect) = self.requests.get(&request) else {
            return Vec::new();
        };
        if suspect.trials.is_some() {
            return Vec::new();
        }
        let losses = suspect.losses.iter();
        losses
            .filter(|loss| !self.ended.contains_key(&loss.upstream))
            .filter(|loss| {
                let alive_ms = self.alive.get(&loss.upstream);
                alive_ms.is_none_or(|alive_ms| *alive_ms < loss.at_ms)
            })
            .map(|loss| loss.upstream)
            .collect()
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
        self.losses(request).upstreams_ended + ages.len() >= ENDED_THRESHOLD
            || *youngest_ms < FIRST_LOSS_WAIT_MS
    }

    /// When a request last lost an answer, if so many upstreams lost one that it is held should all have ended.
    pub fn critical_loss_ms(&self, request: RequestKey) -> Option<u64> {
        let suspect = self.requests.get(&request)?;
        let last_ms = suspect.losses.iter().map(|loss| loss.at_ms).max()?;
        (suspect.losses.len() >= ENDED_THRESHOLD).then_some(last_ms)
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
            .filter(|(_, suspect)| suspect.is_held(now_ms))
            .map(|(request, suspect)| (suspect.at_ms, *request))
            .collect();
        found.sort_unstable_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        found.truncate(MAX_PER_MESSAGE);
        found.into_iter().map(|(_, request)| request).collect()
    }

    /// The numbers of trials to tell peers, of those of some requests that were tried.
    pub fn trial_counts(&self, now_ms: u64, requests: &[RequestKey]) -> Vec<(RequestKey, u8)> {
        let told = |request: &RequestKey| {
            let trials = self.requests.get(request)?.trials?;
            let number = trials.told_number(now_ms);
            (number > 0).then_some((*request, number))
        };
        requests.iter().filter_map(told).collect()
    }

    /// Poison requests that earlier calls have not returned.
    pub fn take_new_poison(&mut self, now_ms: u64) -> Vec<RequestKey> {
        let mut found = Vec::new();
        for (request, suspect) in &mut self.requests {
            if !suspect.is_reported && suspect.is_held(now_ms) {
                suspect.is_reported = true;
                found.push(*request);
            }
        }
        found
    }

    /// What this instance has to write to the store: poison requests that it detected or tries, and those that were
    /// cleared.
    pub fn store_steps(&self, now_ms: u64) -> Vec<StoreStep> {
        let step = |(request, suspect): (&RequestKey, &Suspect)| match suspect.store_record {
            StoreRecord::Unsaved if suspect.is_held(now_ms) => Some(StoreStep::Write(*request)),
            StoreRecord::ToDrop => Some(StoreStep::Drop(*request)),
            StoreRecord::Unsaved | StoreRecord::PeersOnly | StoreRecord::Saved => None,
        };
        self.requests.iter().filter_map(step).collect()
    }

    /// Records that the store has a poison request with this number of trials, and is to be told once it is cleared.
    pub fn mark_saved(&mut self, request: RequestKey, trials: u8) {
        if self.trial_count(request) > trials {
            return;
        }
        if let Some(suspect) = self.requests.get_mut(&request) {
            suspect.store_record = StoreRecord::Saved;
        }
    }

    /// Records that the store has no record of a request any more.
    pub fn mark_dropped(&mut self, request: RequestKey) {
        if let Some(suspect) = self.requests.get_mut(&request)
            && suspect.store_record == StoreRecord::ToDrop
        {
            suspect.store_record = StoreRecord::PeersOnly;
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
        self.requests.retain(|_, suspect| !suspect.is_old(now_ms));
        let age = |suspect: &Suspect| (suspect.is_held(now_ms), suspect.at_ms);
        let first = self.requests.iter().min_by_key(|(_, it)| age(it));
        let first = first.map(|(request, _)| *request);
        if let Some(first) = first.filter(|_| self.requests.len() > MAX_TRACKED) {
            self.requests.remove(&first);
        }
    }
}
