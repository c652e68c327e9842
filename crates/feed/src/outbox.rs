//! Records of this process on their way into the log.

use std::collections::VecDeque;

use wire::{Body, Origin, Record};

/// Most records in one append.
const BATCH_RECORDS: usize = 256;

#[derive(Debug, Clone)]
struct Pending {
    record: Record,
    expires_ms: Option<u64>,
}

/// Numbers and batches the records of one incarnation.
///
/// One batch is on its way at a time, and a batch whose answer was lost is sent again as it was:
/// readers drop the sequence numbers they have seen, so it takes effect once. Sending the next
/// batch first would let the older one land behind it and be dropped.
#[derive(Debug)]
pub struct Outbox {
    writer: String,
    incarnation: u64,
    next_sequence: u64,
    pending: VecDeque<Pending>,
    in_flight: usize,
}

impl Outbox {
    /// An empty outbox for one incarnation of an instance.
    pub fn new(writer: &str, incarnation: u64) -> Self {
        Self {
            writer: writer.to_owned(),
            incarnation,
            next_sequence: 1,
            pending: VecDeque::new(),
            in_flight: 0,
        }
    }

    /// Queues a record and gives its sequence number.
    ///
    /// A record with `expires_ms` is dropped if it has not been sent by then, such as a renewal
    /// of a lease that has lapsed.
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

    /// The next batch to append, or `None` when there is none or one is on its way.
    pub fn next_batch(&mut self, now_ms: u64) -> Option<Vec<Vec<u8>>> {
        if self.in_flight > 0 {
            return None;
        }
        let live = |pending: &Pending| pending.expires_ms.is_none_or(|at_ms| at_ms > now_ms);
        self.pending.retain(live);
        self.in_flight = self.pending.len().min(BATCH_RECORDS);
        let batch = self.pending.iter().take(self.in_flight);
        let encoded: Vec<Vec<u8>> = batch.map(|pending| pending.record.encode()).collect();
        (!encoded.is_empty()).then_some(encoded)
    }

    /// The batch is in the log.
    pub fn confirm_batch(&mut self) {
        self.pending.drain(..self.in_flight);
        self.in_flight = 0;
    }

    /// The batch may or may not be in the log; it will be sent again.
    pub fn requeue_batch(&mut self) {
        self.in_flight = 0;
    }

    /// Records that are not known to be in the log.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether nothing waits to be appended.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
