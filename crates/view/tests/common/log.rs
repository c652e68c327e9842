//! A simulated log of the store, and its followers.

use view::{InstanceKey, LogFollower};

/// A log that is written to constantly and has a change at some offsets.
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

    pub fn read_by(&self, follower: &mut LogFollower, now_ms: u64) {
        let from = follower.next_offset();
        let changed = match from {
            None => Some(self.end),
            Some(from) => self
                .changes
                .iter()
                .map(|(after, _)| *after)
                .rfind(|after| *after > from),
        };
        follower.record_read(now_ms, self.end, changed);
    }
}

/// The follower of the instance with this index.
pub fn follower_of(index: usize) -> LogFollower {
    LogFollower::new(InstanceKey::of(&format!("entry-{index}")))
}
