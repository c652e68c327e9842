//! Records of the home instance: the progress of the call of each key.

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
struct CallRecord {
    epoch: u64,
    digest: BodyDigest,
    progress: Progress,
}

/// How to handle a call that has arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The call is new: ask the witness, then pass its verdict to [`Home::record_verdict`].
    AskWitness,
    /// The call is in progress: wait until it ends.
    Attach,
    /// The call must not be dispatched: answer with this status.
    Known(CallStatus),
}

/// Records of the calls whose home is this incarnation.
#[derive(Debug)]
pub struct Home {
    instance: String,
    incarnation: u64,
    epochs: EpochCounter,
    records: HashMap<String, CallRecord>,
}

impl Home {
    /// Creates a home without records.
    pub fn new(instance: &str, incarnation: u64, epochs: EpochCounter) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epochs,
            records: HashMap::new(),
        }
    }

    /// Whether this incarnation is the home of the key.
    pub fn is_home(&self, key: &IdempotencyKey) -> bool {
        key.home.instance == self.instance && key.home.incarnation == self.incarnation
    }

    /// Admits a call. Repeated calls with the same key are dispatched only once.
    pub fn admit(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> Admission {
        if !self.is_home(key) {
            return Admission::Known(CallStatus::without_answer(CallState::Foreign));
        }
        if !self.epochs.accepts(now_ms, key.home.epoch) {
            return Admission::Known(CallStatus::without_answer(CallState::Expired));
        }
        if let Some(record) = self.records.get(&key.to_string()) {
            return record.admission(digest);
        }
        let record = CallRecord {
            epoch: key.home.epoch,
            digest,
            progress: Progress::AskingWitness,
        };
        self.records.insert(key.to_string(), record);
        Admission::AskWitness
    }

    /// Records the witness's verdict, or `None` if it did not answer in time. Returns whether the
    /// call must be dispatched now, which is true at most once for each key.
    ///
    /// Without a grant the home closes the key. If the witness granted it and only the answer was
    /// lost, other instances get the status `unknown` from the witness, which is safe although the
    /// call has not run.
    pub fn record_verdict(&mut self, key: &IdempotencyKey, verdict: Option<ClaimVerdict>) -> bool {
        let Some(record) = self.records.get_mut(&key.to_string()) else {
            return false;
        };
        if !matches!(record.progress, Progress::AskingWitness) {
            return false;
        }
        let is_granted = verdict == Some(ClaimVerdict::Granted);
        record.progress = if is_granted {
            Progress::Dispatched
        } else {
            Progress::Closed
        };
        is_granted
    }

    /// Records the complete answer of the upstream.
    pub fn record_answer(&mut self, key: &IdempotencyKey, answer: Answer) {
        self.set_outcome(key, Progress::Done(answer));
    }

    /// Records that the call was dispatched and its outcome is unknown.
    pub fn record_unknown(&mut self, key: &IdempotencyKey) {
        self.set_outcome(key, Progress::Unknown);
    }

    /// Records that no byte of the call reached an upstream, so it has not run and never will.
    pub fn record_not_sent(&mut self, key: &IdempotencyKey) {
        self.set_outcome(key, Progress::Closed);
    }

    fn set_outcome(&mut self, key: &IdempotencyKey, progress: Progress) {
        let record = self.records.get_mut(&key.to_string());
        if let Some(record) =
            record.filter(|record| matches!(record.progress, Progress::Dispatched))
        {
            record.progress = progress;
        }
    }

    /// Status of a call; `Unseen` if there is no record.
    pub fn status(&self, key: &IdempotencyKey) -> CallStatus {
        let record = self.records.get(&key.to_string());
        record.map_or(
            CallStatus::without_answer(CallState::Unseen),
            CallRecord::status,
        )
    }

    /// Drops the records of keys that are no longer accepted.
    pub fn expire(&mut self, now_ms: u64) {
        let epochs = self.epochs;
        self.records
            .retain(|_, record| !epochs.may_drop(now_ms, record.epoch));
    }

    /// Number of recorded calls.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no recorded calls.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl CallRecord {
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
