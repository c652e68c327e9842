//! What goes to the store's log of begun streams, and what is read from it.
//!
//! While several versions serve, a few instances append what all tell them. So the records outlive all instances but for
//! the last ones before a kill. See docs/design/stream-versions.md.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use view::{ServiceKey, StreamBatch, StreamKey, VersionKey};

use super::KEEP_MS;
use crate::relay::Relay;

/// Appends a second of all instances together, a fifth of what a small store takes.
const MAX_APPENDS_PER_S: u64 = 80;

/// Most streams in one append.
const MAX_BATCH: usize = 4_096;

/// Most streams that wait for the store.
const MAX_WAITING: usize = 65_536;

/// Longest wait of a caller for a read of the store, in ms.
const READ_TIMEOUT_MS: u64 = 400;

/// Interval at which it is checked whether the set of versions was read, in ms.
const LOAD_CHECK_MS: u64 = 10;

/// A stream that is to be appended, with the time at which it was told.
type Waiting = (u64, StreamKey, VersionKey);

/// What this instance appends to the store's log of streams and wants to read from it.
#[derive(Default)]
pub struct StreamLog {
    waiting: RefCell<VecDeque<Waiting>>,
    /// Whether somebody follows the log for this instance.
    is_followed: Cell<bool>,
    has_work: Rc<Notify>,
    /// Reads that callers have asked for, and that have ended.
    wanted_reads: Cell<u64>,
    ended_reads: Cell<u64>,
    was_read: Cell<bool>,
    read_ended: Rc<Notify>,
}

/// What is to be done for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogStep {
    /// A caller waits for what the log has. The number is told to [`Relay::streams_read`].
    Read(u64),
    /// A batch is to be appended.
    Append(StreamBatch),
}

/// What came of asking the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoreWord {
    /// What it has was read.
    Told,
    /// It knows no more than this instance.
    Nothing,
    /// It did not answer in time.
    Away,
}

impl StreamLog {
    /// Adds a stream to what is to be appended; the oldest are dropped if the store has been away for long.
    pub(super) fn add(&self, now_ms: u64, stream: StreamKey, version: VersionKey) {
        if !self.is_followed.get() {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        while waiting.len() >= MAX_WAITING
            || waiting
                .front()
                .is_some_and(|(at_ms, ..)| now_ms >= at_ms + KEEP_MS)
        {
            waiting.pop_front();
        }
        waiting.push_back((now_ms, stream, version));
        self.has_work.notify_one();
    }

    fn next_step(&self) -> Option<LogStep> {
        if self.wanted_reads.get() > self.ended_reads.get() {
            return Some(LogStep::Read(self.wanted_reads.get()));
        }
        let mut waiting = self.waiting.borrow_mut();
        let count = waiting.len().min(MAX_BATCH);
        let mut batch = StreamBatch::default();
        for (_, stream, version) in waiting.drain(..count) {
            batch.add(stream, version);
        }
        (count > 0).then_some(LogStep::Append(batch))
    }

    /// Waits until the log is read from now on; false if nobody reads it, or it takes too long.
    pub(super) async fn read_again(&self) -> bool {
        if !self.is_followed.get() {
            return false;
        }
        let wanted = self.wanted_reads.get() + 1;
        self.wanted_reads.set(wanted);
        self.has_work.notify_one();
        let read = async {
            while self.ended_reads.get() < wanted {
                self.read_ended.notified().await;
            }
        };
        let timeout = Duration::from_millis(READ_TIMEOUT_MS);
        let has_ended = actix_rt::time::timeout(timeout, read).await.is_ok();
        has_ended && self.was_read.get()
    }
}

impl Relay {
    /// Waits until the store may tell more of a stream's origin: its set of versions is read, or its log while several
    /// versions serve.
    pub(super) async fn await_store(&self, service: ServiceKey) -> StoreWord {
        let origins = &self.stream_origins;
        if !origins.log.is_followed.get() {
            return StoreWord::Nothing;
        }
        let was_loaded = origins.history.is_loaded();
        if !was_loaded {
            let until_ms = self.now_ms() + READ_TIMEOUT_MS;
            while !origins.history.is_loaded() && self.now_ms() < until_ms {
                actix_rt::time::sleep(Duration::from_millis(LOAD_CHECK_MS)).await;
            }
        }
        match (self.are_versions_mixed(service), was_loaded) {
            (true, _) if origins.log.read_again().await => StoreWord::Told,
            (true, _) => StoreWord::Away,
            (false, true) => StoreWord::Nothing,
            (false, false) => StoreWord::Told,
        }
    }

    /// Waits for something to do for the store's log of streams.
    pub async fn next_log_step(&self) -> LogStep {
        let log = &self.stream_origins.log;
        log.is_followed.set(true);
        loop {
            if let Some(step) = log.next_step() {
                return step;
            }
            log.has_work.notified().await;
        }
    }

    /// Least time between two appends of this instance, in ms.
    pub fn append_interval_ms(&self) -> u64 {
        let recorders = view::stream_origin::recorder_count(self.instance_count()) as u64;
        recorders * 1_000 / MAX_APPENDS_PER_S
    }

    /// Takes back a batch that the store did not take.
    pub fn batch_not_appended(&self, batch: &StreamBatch) {
        let now_ms = self.now_ms();
        for (stream, version) in batch.streams() {
            self.stream_origins.log.add(now_ms, stream, version);
        }
    }

    /// Takes over what was read from the log.
    pub fn load_streams(&self, batch: &StreamBatch) {
        let now_ms = self.now_ms();
        for (stream, version) in batch.streams() {
            self.stream_origins.record(now_ms, stream, version);
        }
    }

    /// Ends a read of the log, with whether it succeeded.
    pub fn streams_read(&self, number: u64, was_read: bool) {
        let log = &self.stream_origins.log;
        log.was_read.set(was_read);
        log.ended_reads.set(number);
        log.read_ended.notify_waiters();
    }
}
