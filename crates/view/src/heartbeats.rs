//! When an instance writes its own heartbeat record to the store, and when it reads all records.
//!
//! Hundreds of instances may start within a third of a second, before any of them has written a
//! record, and every store call has a price. Each instance reads once at its start, writes once
//! when it is ready, and reads once more after its peers have written; it learns later changes by
//! gossip.

use crate::Members;

/// How long a starting instance waits for its configuration before it writes its first record, in
/// ms. With the wait, one record usually covers the whole start.
const FIRST_WRITE_DELAY_MS: u64 = 1_200;

/// Reads after a start that follow each other at the short pause.
const STARTUP_READS: u32 = 3;

/// Pause between reads at startup, and after a write that was not acknowledged, in ms. Instances of
/// one fleet start within some tenths of a second of each other.
const STARTUP_PAUSE_MS: u64 = 500;

/// Pause before a read is repeated while none has been answered, in ms.
const FIRST_READ_RETRY_MS: u64 = 150;

/// Pause between reads of an instance that receives no gossip, in ms.
const ISOLATED_PAUSE_MS: u64 = 2_500;

/// Pause between its reads until the store has shown whether its peers are gone, in ms.
const JUDGING_PAUSE_MS: u64 = 500;

/// Interval at which the first instances in rank write their records, in ms, so that one which hears nobody can tell from
/// the store that others live.
pub const SIGN_INTERVAL_MS: u64 = 1_000;

/// Number of these instances: one of them may be the one that hears nobody.
const SIGN_WRITERS: usize = 2;

/// Interval at which those that come next in rank write theirs, in ms: the store may turn the first ones away. It is shorter
/// than the time after which peers without a sign of life count as gone.
const SPARE_SIGN_INTERVAL_MS: u64 = 1_400;

/// Number of all that write signs of life: an instance that hears nobody, two that are turned away, and one more.
const ALL_SIGN_WRITERS: usize = 4;

/// When the heartbeat records of all instances are read.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadSchedule {
    /// Offset at which the next read begins; `None` if all records must be read.
    pub next_offset: Option<u64>,
    read_ms: u64,
    reads: u32,
}

impl ReadSchedule {
    /// Whether to read now.
    pub fn is_due(&self, now_ms: u64, members: &Members, writes: &WriteSchedule) -> bool {
        let pause_ms = match self.next_offset {
            _ if self.reads == 0 => return true,
            None => FIRST_READ_RETRY_MS,
            // The first read of instances that start together does not show all of them yet.
            // Shortly after this instance has written, the others have too.
            Some(_) if self.reads < STARTUP_READS && !members.is_complete(now_ms) => {
                let written_ms = writes.written_ms.unwrap_or(u64::MAX - STARTUP_PAUSE_MS);
                return now_ms >= written_ms.max(self.read_ms) + STARTUP_PAUSE_MS;
            }
            Some(_) if members.is_judging_silence(now_ms) => JUDGING_PAUSE_MS,
            Some(_) if members.is_isolated(now_ms) => ISOLATED_PAUSE_MS,
            Some(_) => members.heartbeat_interval_ms(),
        };
        now_ms >= self.read_ms + pause_ms
    }

    /// Records that a read ended at `now_ms`, answered or not.
    pub fn record_read(&mut self, now_ms: u64) {
        self.read_ms = now_ms;
        self.reads = self.reads.saturating_add(1);
    }
}

/// When an instance writes its own heartbeat record.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteSchedule {
    started_ms: u64,
    written_ms: Option<u64>,
    written_ready: bool,
    failed_ms: Option<u64>,
    /// When it last wrote as a sign of life.
    sign_ms: Option<u64>,
}

impl WriteSchedule {
    /// The schedule of a process that started at `started_ms` and has written nothing.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            ..Self::default()
        }
    }

    /// Whether to write now: on a change of readiness, when the heartbeat interval has passed, or
    /// for the first time.
    pub fn is_due(&self, now_ms: u64, is_ready: bool, members: &Members) -> bool {
        let is_paused = |at_ms: u64| now_ms < at_ms + STARTUP_PAUSE_MS;
        if self.failed_ms.is_some_and(is_paused) {
            return false;
        }
        match self.written_ms {
            None => is_ready || now_ms >= self.started_ms + FIRST_WRITE_DELAY_MS,
            Some(at_ms) => {
                self.written_ready != is_ready || now_ms >= at_ms + members.heartbeat_interval_ms()
            }
        }
    }

    /// Whether an instance of this rank is to write as a sign of life for those that hear nobody.
    pub fn is_sign_due(&self, now_ms: u64, rank: usize) -> bool {
        let interval_ms = match rank {
            0..SIGN_WRITERS => SIGN_INTERVAL_MS,
            SIGN_WRITERS..ALL_SIGN_WRITERS => SPARE_SIGN_INTERVAL_MS,
            _ => return false,
        };
        let is_paused = |at_ms: u64| now_ms < at_ms + STARTUP_PAUSE_MS;
        let is_old = |at_ms: u64| now_ms >= at_ms + interval_ms;
        !self.failed_ms.is_some_and(is_paused)
            && self.written_ms.max(self.sign_ms).is_some_and(is_old)
    }

    /// Records that a write as a sign of life ended. The regular ones go on, since peers are told of those.
    pub fn record_sign(&mut self, now_ms: u64, was_acknowledged: bool) {
        if was_acknowledged {
            self.sign_ms = Some(now_ms);
        } else {
            self.failed_ms = Some(now_ms);
        }
    }

    /// Records that a write ended. One that was not acknowledged is retried after a short pause,
    /// because the next regular heartbeat would come much later.
    pub fn record_write(&mut self, now_ms: u64, is_ready: bool, was_acknowledged: bool) {
        if was_acknowledged {
            (self.written_ms, self.written_ready, self.failed_ms) = (Some(now_ms), is_ready, None);
        } else {
            self.failed_ms = Some(now_ms);
        }
    }
}
