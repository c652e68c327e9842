//! Records of this process that wait to be appended to the log.

use std::collections::VecDeque;

use wire::{Body, Origin, Record};

/// Maximum number of records in an append.
const MAX_BATCH_RECORDS: usize = 256;

#[derive(Debug, Clone)]
struct Pending {
    record: Record,
    expires_ms: Option<u64>,
}

/// Numbers and batches the records of one incarnation.
///
/// Only one batch is in flight at a time, and a batch whose answer was lost is retried. Readers
/// drop sequence numbers that they have seen, so each record takes effect once. If the next batch
/// were sent before the retry, the older records could be appended after newer ones and be dropped.
#[derive(Debug)]
pub struct Outbox {
    writer: String,
    incarnation: u64,
    next_sequence: u64,
    pending: VecDeque<Pending>,
    in_flight: usize,
}

impl Outbox {
    /// Creates an empty outbox for one incarnation of an instance.
    pub fn new(writer: &str, incarnation: u64) -> Self {
        Self {
            writer: writer.to_owned(),
            incarnation,
            next_sequence: 1,
            pending: VecDeque::new(),
            in_flight: 0,
        }
    }

    /// Queues a record and returns its sequence number.
    ///
    /// A record that has not been sent by `expires_ms` is dropped, such as the renewal of a lease
    /// that has expired.
    pub fn push(&mut self, actor: &str, wall_ms: u64, body: Body, expires_ms: Option<u64>) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let record = Record {
            origin: Origin {
                writer: self.writer.clone(),
                incarnation: self.incarnation,
                sequence,
            },
            wall_ms,
            actor: actor.to_owned(),
            body,
        };
        self.pending.push_back(Pending { record, expires_ms });
        sequence
    }

    /// Returns the next batch to append, or `None` if there is none or a batch is in flight.
    pub fn next_batch(&mut self, now_ms: u64) -> Option<Vec<Vec<u8>>> {
        if self.in_flight > 0 {
            return None;
        }
        let is_live = |pending: &Pending| pending.expires_ms.is_none_or(|at_ms| at_ms > now_ms);
        self.pending.retain(is_live);
        self.in_flight = self.pending.len().min(MAX_BATCH_RECORDS);
        let batch = self.pending.iter().take(self.in_flight);
        let encoded: Vec<Vec<u8>> = batch.map(|pending| pending.record.encode()).collect();
        (!encoded.is_empty()).then_some(encoded)
    }

    /// Records that the batch in flight was appended.
    pub fn confirm_batch(&mut self) {
        self.pending.drain(..self.in_flight);
        self.in_flight = 0;
    }

    /// Records that the append failed or its outcome is unknown; the batch is resent.
    pub fn requeue_batch(&mut self) {
        self.in_flight = 0;
    }

    /// Number of records that are not known to be in the log.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether all records are known to be in the log.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
