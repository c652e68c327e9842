//! What a home knows: for each key, how far its call has come.

use std::collections::HashMap;

use wire::{Answer, CallState, CallStatus, ClaimVerdict};

use crate::{BodyDigest, EpochCounter, IdempotencyKey};

#[derive(Debug, Clone)]
enum Progress {
    AskingWitness,
    Dispatched,
    Done(Answer),
    Unknown,
    Closed,
}

#[derive(Debug, Clone)]
struct Held {
    epoch: u64,
    digest: BodyDigest,
    progress: Progress,
}

/// What to do with a call that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is new: ask the witness, then report the verdict.
    AskWitness,
    /// It is under way: wait for its end.
    Attach,
    /// Nothing is to be done; this is known.
    Known(CallStatus),
}

/// The home side of one incarnation.
#[derive(Debug)]
pub struct Home {
    instance: String,
    incarnation: u64,
    epochs: EpochCounter,
    held: HashMap<String, Held>,
}

impl Home {
    /// A home without records.
    pub fn new(instance: &str, incarnation: u64, epochs: EpochCounter) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epochs,
            held: HashMap::new(),
        }
    }

    /// Whether this incarnation is the key's home.
    pub fn is_home(&self, key: &IdempotencyKey) -> bool {
        key.home.instance == self.instance && key.home.incarnation == self.incarnation
    }

    /// Takes a call in.
    pub fn admit(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> Admission {
        if !self.is_home(key) {
            return Admission::Known(CallStatus::without_answer(CallState::Foreign));
        }
        if !self.epochs.accepts(now_ms, key.home.epoch) {
            return Admission::Known(CallStatus::without_answer(CallState::Expired));
        }
        if let Some(held) = self.held.get(&key.to_string()) {
            return held.admission(digest);
        }
        let held = Held {
            epoch: key.home.epoch,
            digest,
            progress: Progress::AskingWitness,
        };
        self.held.insert(key.to_string(), held);
        Admission::AskWitness
    }

    /// Takes in the witness's word, or `None` when it did not answer in time; gives whether the
    /// call may be dispatched now. It says so once for each key.
    ///
    /// Without a grant the home closes the key for itself. The witness may have granted it and
    /// the answer was lost; others are then told `unknown`, which is safe if not sharp.
    pub fn record_verdict(&mut self, key: &IdempotencyKey, verdict: Option<ClaimVerdict>) -> bool {
        let Some(held) = self.held.get_mut(&key.to_string()) else {
            return false;
        };
        if !matches!(held.progress, Progress::AskingWitness) {
            return false;
        }
        let go = verdict == Some(ClaimVerdict::Granted);
        held.progress = if go {
            Progress::Dispatched
        } else {
            Progress::Closed
        };
        go
    }

    /// The upstream's whole answer arrived.
    pub fn record_answer(&mut self, key: &IdempotencyKey, answer: Answer) {
        self.end(key, Progress::Done(answer));
    }

    /// The call was dispatched and its outcome is lost.
    pub fn record_unknown(&mut self, key: &IdempotencyKey) {
        self.end(key, Progress::Unknown);
    }

    /// No byte of the call reached an upstream: it has not run and never will.
    pub fn record_not_sent(&mut self, key: &IdempotencyKey) {
        self.end(key, Progress::Closed);
    }

    fn end(&mut self, key: &IdempotencyKey, progress: Progress) {
        let held = self.held.get_mut(&key.to_string());
        if let Some(held) = held.filter(|held| matches!(held.progress, Progress::Dispatched)) {
            held.progress = progress;
        }
    }

    /// What is known of a call.
    pub fn status(&self, key: &IdempotencyKey) -> CallStatus {
        let held = self.held.get(&key.to_string());
        held.map_or(CallStatus::without_answer(CallState::Unseen), Held::status)
    }

    /// Drops records of keys that are refused from now on.
    pub fn expire(&mut self, now_ms: u64) {
        let epochs = self.epochs;
        self.held
            .retain(|_, held| !epochs.may_drop(now_ms, held.epoch));
    }

    /// Calls that are recorded.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no call is recorded.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

impl Held {
    fn admission(&self, digest: BodyDigest) -> Admission {
        if self.digest != digest {
            return Admission::Known(CallStatus::without_answer(CallState::Conflict));
        }
        match self.progress {
            Progress::AskingWitness | Progress::Dispatched => Admission::Attach,
            Progress::Done(_) | Progress::Unknown | Progress::Closed => {
                Admission::Known(self.status())
            }
        }
    }

    fn status(&self) -> CallStatus {
        match &self.progress {
            Progress::AskingWitness | Progress::Dispatched => {
                CallStatus::without_answer(CallState::Running)
            }
            Progress::Unknown => CallStatus::without_answer(CallState::Unknown),
            Progress::Closed => CallStatus::without_answer(CallState::Unseen),
            Progress::Done(answer) => CallStatus {
                state: CallState::Done,
                answer: Some(answer.clone()),
            },
        }
    }
}
