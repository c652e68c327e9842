//! A log of the store, and what an instance knows of it.

use view::{InstanceKey, LogFollower};

/// A log that is written to all the time and changes at some offsets.
#[derive(Default)]
pub struct Log {
    pub end: u64,
    pub changes: Vec<(u64, u64)>,
}

impl Log {
    pub fn write(&mut self, now_ms: u64, changes: bool) {
        self.end += 1;
        if changes {
            self.changes.push((self.end, now_ms));
        }
    }

    pub fn read_by(&self, followed: &mut LogFollower, now_ms: u64) {
        let from = followed.next_offset();
        let changed = match from {
            None => Some(self.end),
            Some(from) => self
                .changes
                .iter()
                .map(|(after, _)| *after)
                .rfind(|after| *after > from),
        };
        followed.record_read(now_ms, self.end, changed);
    }
}

/// What an instance knows of a log, by its number.
pub fn of(index: usize) -> LogFollower {
    LogFollower::new(InstanceKey::of(&format!("entry-{index}")))
}
