//! What a witness knows: for each key, whether the home may dispatch it.

use std::collections::HashMap;

use wire::{Answer, CallState, CallStatus, ClaimVerdict};

use crate::{BodyDigest, EpochCounter, IdempotencyKey};

#[derive(Debug, Clone)]
enum Note {
    Granted {
        digest: BodyDigest,
        answer: Option<Answer>,
    },
    Fenced,
}

#[derive(Debug, Clone)]
struct Noted {
    epoch: u64,
    note: Note,
}

/// The witness side of one incarnation.
///
/// The first of two questions decides: the home asks to run a key, anyone else asks to close it.
/// What was decided never changes, so a home that is slow, paused or cut off cannot run a call
/// of which a caller was told that it has not run.
#[derive(Debug)]
pub struct Witness {
    instance: String,
    incarnation: u64,
    epochs: EpochCounter,
    notes: HashMap<String, Noted>,
}

impl Witness {
    /// A witness without notes.
    pub fn new(instance: &str, incarnation: u64, epochs: EpochCounter) -> Self {
        Self {
            instance: instance.to_owned(),
            incarnation,
            epochs,
            notes: HashMap::new(),
        }
    }

    fn is_witness(&self, key: &IdempotencyKey) -> bool {
        key.witness.instance == self.instance && key.witness.incarnation == self.incarnation
    }

    /// The key's home asks whether it may dispatch the call.
    pub fn claim(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> ClaimVerdict {
        if !self.is_witness(key) {
            return ClaimVerdict::Foreign;
        }
        if !self.epochs.accepts(now_ms, key.witness.epoch) {
            return ClaimVerdict::Expired;
        }
        let noted = self.notes.entry(key.to_string()).or_insert(Noted {
            epoch: key.witness.epoch,
            note: Note::Granted {
                digest,
                answer: None,
            },
        });
        match noted.note {
            Note::Granted { .. } => ClaimVerdict::Granted,
            Note::Fenced => ClaimVerdict::Fenced,
        }
    }

    /// An instance that cannot reach the home asks what is known, and closes an unseen key.
    pub fn fence(&mut self, now_ms: u64, key: &IdempotencyKey, digest: BodyDigest) -> CallStatus {
        if !self.is_witness(key) {
            return CallStatus::without_answer(CallState::Foreign);
        }
        // A key that the witness refuses for its age can get no grant any more, but it may have
        // had one whose note is dropped.
        if !self.epochs.accepts(now_ms, key.witness.epoch) {
            return CallStatus::without_answer(CallState::Expired);
        }
        let noted = self.notes.entry(key.to_string()).or_insert(Noted {
            epoch: key.witness.epoch,
            note: Note::Fenced,
        });
        match &noted.note {
            Note::Fenced => CallStatus::without_answer(CallState::Unseen),
            Note::Granted { digest: first, .. } if *first != digest => {
                CallStatus::without_answer(CallState::Conflict)
            }
            Note::Granted {
                answer: Some(answer),
                ..
            } => CallStatus {
                state: CallState::Done,
                answer: Some(answer.clone()),
            },
            Note::Granted { .. } => CallStatus::without_answer(CallState::Unknown),
        }
    }

    /// The home gives the answer, so that it outlives the home.
    pub fn finish(&mut self, key: &IdempotencyKey, given: Answer) {
        let noted = self.notes.get_mut(&key.to_string());
        if let Some(Note::Granted { answer, .. }) = noted.map(|noted| &mut noted.note) {
            answer.get_or_insert(given);
        }
    }

    /// Drops notes of keys that are refused from now on.
    pub fn expire(&mut self, now_ms: u64) {
        let epochs = self.epochs;
        self.notes
            .retain(|_, noted| !epochs.may_drop(now_ms, noted.epoch));
    }

    /// Keys that are noted.
    pub fn len(&self) -> usize {
        self.notes.len()
    }

    /// Whether no key is noted.
    pub fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }
}
