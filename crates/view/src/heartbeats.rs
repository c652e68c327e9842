//! When an instance writes its own record, and when it reads those of all.
//!
//! Load pattern: three hundred instances start within a third of a second, before anybody has written
//! anything, and each call has a price. Each reads once at its start, writes once when it is ready, and
//! reads once more when the others have written too; what follows they tell each other.

use crate::Members;

/// Time for which an instance that starts waits for its configuration before it writes its first
/// record, in ms: with it, one record says all.
const FIRST_WRITE_MS: u64 = 1_200;

/// Readings after a start that follow each other fast.
const FIRST_READS: u32 = 3;

/// Pause between those, and after a call that was not answered, in ms: instances start within some
/// tenths of a second of each other.
const FIRST_REST_MS: u64 = 500;

/// Pause before the first reading is tried again, in ms.
const RETRY_MS: u64 = 150;

/// Pause between readings of an instance that hears nobody, in ms.
const DEAF_REST_MS: u64 = 2_500;

/// How far the records of all were read.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadSchedule {
    /// Where the next reading begins; nothing if the whole has to be read.
    pub next_offset: Option<u64>,
    read_ms: u64,
    reads: u32,
}

impl ReadSchedule {
    /// Whether to read now.
    pub fn is_due(&self, now_ms: u64, members: &Members, written: &WriteSchedule) -> bool {
        let rest_ms = match self.next_offset {
            _ if self.reads == 0 => return true,
            None => RETRY_MS,
            // Instances that start together are not in the list yet that each reads first, but are soon
            // after this one has written.
            Some(_) if self.reads < FIRST_READS && !members.is_complete(now_ms) => {
                let written_ms = written.at_ms.unwrap_or(u64::MAX - FIRST_REST_MS);
                return now_ms >= written_ms.max(self.read_ms) + FIRST_REST_MS;
            }
            Some(_) if members.is_isolated(now_ms) => DEAF_REST_MS,
            Some(_) => members.heartbeat_interval_ms(),
        };
        now_ms >= self.read_ms + rest_ms
    }

    /// A reading ended at `now_ms`, answered or not.
    pub fn record_read(&mut self, now_ms: u64) {
        self.read_ms = now_ms;
        self.reads = self.reads.saturating_add(1);
    }
}

/// What an instance last wrote of itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteSchedule {
    started_ms: u64,
    at_ms: Option<u64>,
    ready: bool,
    failed_ms: Option<u64>,
}

impl WriteSchedule {
    /// Nothing, by a process that started at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            ..Self::default()
        }
    }

    /// Whether to write now that this instance is ready or not.
    pub fn is_due(&self, now_ms: u64, is_ready: bool, members: &Members) -> bool {
        let rests = |at_ms: u64| now_ms < at_ms + FIRST_REST_MS;
        if self.failed_ms.is_some_and(rests) {
            return false;
        }
        match self.at_ms {
            None => is_ready || now_ms >= self.started_ms + FIRST_WRITE_MS,
            Some(at_ms) => {
                self.ready != is_ready || now_ms >= at_ms + members.heartbeat_interval_ms()
            }
        }
    }

    /// A writing ended. One that was not acknowledged is tried again soon, since the next would come
    /// much later.
    pub fn record_write(&mut self, now_ms: u64, is_ready: bool, was_acknowledged: bool) {
        if was_acknowledged {
            (self.at_ms, self.ready, self.failed_ms) = (Some(now_ms), is_ready, None);
        } else {
            self.failed_ms = Some(now_ms);
        }
    }
}
