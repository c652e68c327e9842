//! Records of the witness instance: for each key, whether the home may dispatch its call.

use std::collections::HashMap;

use wire::{Answer, CallState, CallStatus, ClaimVerdict};

use crate::{BodyDigest, EpochCounter, IdempotencyKey};

#[derive(Debug, Clone)]
enum Decision {
    Granted {
        digest: BodyDigest,
        answer: Option<Answer>,
    },
    Fenced,
}

#[derive(Debug, Clone)]
struct KeyRecord {
    epoch: u64,
    decision: Decision,
}

/// Records of the keys whose witness is this incarnation.
///
/// The first request for a key decides: a claim by the home grants it, a fence by any other
/// instance closes it. The decision never changes, so a home that is slow, paused or partitioned
/// cannot run a call that was reported to a caller as not run.
#[derive(Debug)]
pub struct Witness {
    instance: String,
    incarnation: u64,
    epochs: EpochCounter,
    records: HashMap<String, KeyRecord>,
}

impl Witness {
    /// Creates a witness without records.
    pub fn new(instance: &str, incarnation: u64, epochs: EpochCounter) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epochs,
            records: HashMap::new(),
        }
    }

    fn is_witness(&self, key: &IdempotencyKey) -> bool {
        key.witness.instance == self.instance && key.witness.incarnation == self.incarnation
    }

    /// Handles the home's request to dispatch the call.
    pub fn claim(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> ClaimVerdict {
        if !self.is_witness(key) {
            return ClaimVerdict::Foreign;
        }
        if !self.epochs.accepts(now_ms, key.witness.epoch) {
            return ClaimVerdict::Expired;
        }
        let record = self.records.entry(key.to_string()).or_insert(KeyRecord {
            epoch: key.witness.epoch,
            decision: Decision::Granted {
                digest,
                answer: None,
            },
        });
        match record.decision {
            Decision::Granted { .. } => ClaimVerdict::Granted,
            Decision::Fenced => ClaimVerdict::Fenced,
        }
    }

    /// Handles a request of an instance that cannot reach the home: returns the status of the call,
    /// and closes the key if it is not recorded yet.
    pub fn fence(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> CallStatus {
        if !self.is_witness(key) {
            return CallStatus::without_answer(CallState::Foreign);
        }
        // An expired key cannot be granted any more, but it may have been granted earlier and its
        // record dropped.
        if !self.epochs.accepts(now_ms, key.witness.epoch) {
            return CallStatus::without_answer(CallState::Expired);
        }
        let record = self.records.entry(key.to_string()).or_insert(KeyRecord {
            epoch: key.witness.epoch,
            decision: Decision::Fenced,
        });
        match &record.decision {
            Decision::Fenced => CallStatus::without_answer(CallState::Unseen),
            Decision::Granted { digest: first, .. } if *first != digest => {
                CallStatus::without_answer(CallState::Conflict)
            }
            Decision::Granted {
                answer: Some(answer),
                ..
            } => CallStatus {
                state: CallState::Done,
                answer: Some(answer.clone()),
            },
            Decision::Granted { .. } => CallStatus::without_answer(CallState::Unknown),
        }
    }

    /// Stores the answer of a granted call, so that it outlives the home.
    pub fn finish(&mut self, key: &IdempotencyKey, final_answer: Answer) {
        let record = self.records.get_mut(&key.to_string());
        if let Some(Decision::Granted { answer, .. }) = record.map(|record| &mut record.decision) {
            answer.get_or_insert(final_answer);
        }
    }

    /// Drops the records of keys that are no longer accepted.
    pub fn expire(&mut self, now_ms: u64) {
        let epochs = self.epochs;
        self.records
            .retain(|_, record| !epochs.may_drop(now_ms, record.epoch));
    }

    /// Number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no recorded keys.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
