//! Trials of what is held since upstreams ended under it: when the next one is due, and which instance sends it.
//!
//! Ends at one moment accuse whatever was under way, so being held is no proof. A trial is one send that tells: a whole
//! answer clears what is held, an upstream that ends under it counts. Trials are numbered over the whole fleet, and the
//! number is what bounds the sends of a request that does end upstreams: it is told with each claim and with the list of
//! what is held, and is in the store. See docs/design/retries.md.

use serde::{Deserialize, Serialize};

use crate::{InstanceKey, RequestKey, gossip};

/// Most trials of one suspect: as many sends as it may have after the upstreams that it ended first.
pub const MAX_TRIALS: u8 = 3;

/// Time from the first evidence to the first trial, in ms: what was sent before has shown its end or its answer.
pub const FIRST_TRIAL_MS: u64 = 1_000;

/// Pause after the first trial, in ms; it doubles with each one. Upstreams that ended in it for another reason are back.
const FIRST_PAUSE_MS: u64 = 3_000;

/// Time between a claim and its send, in ms: a claim of another instance has arrived by then.
pub const CLAIM_MS: u64 = 4 * gossip::PERIOD_MS;

/// Time for which a claim keeps other instances from trying, in ms: the claim has spread, and most answers are whole.
const CLAIM_LASTS_MS: u64 = 2_000;

/// Time after a claim from which its number is told with the list of what is held, in ms: a trial that was not sent has
/// given it back by then.
const TOLD_AFTER_MS: u64 = 3 * CLAIM_MS;

/// Pause after a trial that was not sent, in ms.
const UNSENT_PAUSE_MS: u64 = 500;

/// Time over which instances spread their claims of a first trial and of a later one, in ms. What came of the first claim
/// has reached those that missed it before their own.
const FIRST_SPREAD_MS: u64 = 1_000;
/// See [`FIRST_SPREAD_MS`].
pub const SPREAD_MS: u64 = 3_000;

/// Time from the trial with this number to the next, in ms; none if it is the last.
pub fn pause_ms(number: u8) -> Option<u64> {
    let doublings = u32::from(number.saturating_sub(1));
    (number < MAX_TRIALS).then(|| FIRST_PAUSE_MS << doublings)
}

/// The claim of one instance to send a request as its next trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestTrial {
    /// The request.
    pub request: RequestKey,
    /// Number of the trial, from 1.
    pub number: u8,
    /// The instance.
    pub instance: InstanceKey,
    /// Tells claims of one instance apart: low bits of its clock.
    pub nonce: u32,
}

/// What instances tell each other of trials.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialNews {
    /// An instance is about to send it.
    Claimed(RequestTrial),
    /// It was not sent, and its number is free again.
    Unsent(RequestTrial),
}

/// What a request that is held may do now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialStep {
    /// The trial with this number is due.
    Due(u8),
    /// One is under way, and may tell soon.
    Running,
    /// The next is due in this many ms.
    DueIn(u64),
    /// There is none any more.
    Over,
}

#[derive(Debug, Clone, Copy)]
struct Claim {
    trial: RequestTrial,
    at_ms: u64,
}

/// The trials of one suspect, as an instance knows of them.
#[derive(Debug, Clone, Copy)]
pub struct Trials {
    /// Number of the last one that was claimed and not given back.
    number: u8,
    /// When the next one is due.
    next_ms: u64,
    claim: Option<Claim>,
    /// The last claim that was given back; gossip may still repeat it.
    unsent: Option<RequestTrial>,
}

impl Trials {
    /// No trial yet, of a suspect that is held from now on.
    pub fn new(now_ms: u64) -> Self {
        Self {
            number: 0,
            next_ms: now_ms + FIRST_TRIAL_MS,
            claim: None,
            unsent: None,
        }
    }

    /// Number of trials so far.
    pub fn number(&self) -> u8 {
        self.number
    }

    /// The number to tell peers that may have missed claims: that of a claim which may still be given back would count it
    /// for good.
    pub fn told_number(&self, now_ms: u64) -> u8 {
        let is_young = |claim: Claim| now_ms < claim.at_ms + TOLD_AFTER_MS;
        self.number - u8::from(self.claim.is_some_and(is_young))
    }

    /// What may be done now by an instance whose claims come this much later than those of others.
    pub fn step(&self, now_ms: u64, spread_ms: u64) -> TrialStep {
        let is_recent = |claim: Claim| now_ms < claim.at_ms + CLAIM_LASTS_MS;
        if self.claim.is_some_and(is_recent) {
            return TrialStep::Running;
        }
        if self.number >= MAX_TRIALS {
            return TrialStep::Over;
        }
        let due_ms = self.next_ms + spread_ms;
        if now_ms >= due_ms {
            TrialStep::Due(self.number + 1)
        } else {
            TrialStep::DueIn(due_ms - now_ms)
        }
    }

    /// Takes a claim, of this instance or a peer; returns whether it counts. Of claims that cross, the one of the
    /// lowest instance does.
    pub fn claim(&mut self, now_ms: u64, trial: RequestTrial) -> bool {
        if self.unsent == Some(trial) || trial.number < self.number {
            return false;
        }
        if trial.number == self.number {
            // Later, what was claimed first has been sent.
            let goes_first = |claim: Claim| {
                trial.instance < claim.trial.instance && now_ms < claim.at_ms + CLAIM_MS
            };
            if !self.claim.is_some_and(goes_first) {
                return false;
            }
        }
        self.number = trial.number;
        self.next_ms = now_ms + pause_ms(trial.number).unwrap_or_default();
        self.claim = Some(Claim {
            trial,
            at_ms: now_ms,
        });
        true
    }

    /// Whether an instance that claims a trial has to be told that it is late: the one with this number, or a later one,
    /// was claimed by this instance and sent.
    pub fn objects(&self, now_ms: u64, own: InstanceKey, trial: RequestTrial) -> bool {
        let is_sent = |claim: Claim| {
            claim.trial.instance == own
                && claim.trial != trial
                && trial.number <= claim.trial.number
                && now_ms >= claim.at_ms + CLAIM_MS
        };
        self.claim.is_some_and(is_sent)
    }

    /// Whether a claim still stands.
    pub fn holds(&self, trial: RequestTrial) -> bool {
        self.claim.is_some_and(|claim| claim.trial == trial)
    }

    /// Frees the number of a trial that was not sent; returns whether that is new.
    pub fn give_back(&mut self, now_ms: u64, trial: RequestTrial) -> bool {
        if !self.holds(trial) {
            return false;
        }
        self.claim = None;
        self.unsent = Some(trial);
        self.number = trial.number - 1;
        self.next_ms = now_ms + UNSENT_PAUSE_MS;
        true
    }

    /// Learns from a peer or the store that there were this many trials. When the last of them was is not known, so its
    /// pause counts from now.
    pub fn learn(&mut self, now_ms: u64, number: u8) {
        if number > self.number {
            self.number = number;
            self.claim = None;
            self.next_ms = now_ms + pause_ms(number).unwrap_or_default();
        }
    }
}

/// How much later an instance claims a trial of a request than it is due, in ms: another one claims each time, and few
/// claims cross.
pub fn spread_ms(request: RequestKey, number: u8, instance: InstanceKey) -> u64 {
    let mixed = (request.0 ^ u64::from(instance.0) ^ (u64::from(number) << 32))
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let most_ms = if number == 0 {
        FIRST_SPREAD_MS
    } else {
        SPREAD_MS
    };
    (mixed >> 32) % most_ms
}
