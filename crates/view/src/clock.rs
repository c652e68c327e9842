//! The time of day that a fleet goes by.
//!
//! Failure: clocks of a third of the machines jump by seconds at once. Whoever went by its own would put requests into
//! another window of time than the others, and close a window whose counts have not come. So a hub takes the median of
//! the clocks that it hears, which stays true while fewer than half are wrong, and those that report to it take its
//! word. Between two words the time since boot goes on, which does not jump and counts suspensions.

use std::collections::HashMap;

use crate::{GossipMessage, InstanceKey, MessageKind};

/// Age at which what was heard of a clock no longer counts, in ms.
const STALE_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Sample {
    ahead_ms: i64,
    at_ms: u64,
}

/// What one instance takes for the time of day.
///
/// All its arguments are times since boot, and all it holds are differences between those and times of day.
#[derive(Debug, Clone, Default)]
pub struct FleetClock {
    samples: HashMap<InstanceKey, Sample>,
    ahead_ms: Option<i64>,
}

fn ahead_ms(since_boot_ms: u64, of_day_ms: u64) -> i64 {
    of_day_ms.cast_signed() - since_boot_ms.cast_signed()
}

impl FleetClock {
    /// Another instance told the time.
    pub fn receive(&mut self, since_boot_ms: u64, told: &GossipMessage) {
        let ahead_ms = ahead_ms(since_boot_ms, told.clock_ms);
        match told.kind {
            MessageKind::Digest => self.ahead_ms = Some(ahead_ms),
            MessageKind::Report | MessageKind::Sum => {
                let sample = Sample {
                    ahead_ms,
                    at_ms: since_boot_ms,
                };
                self.samples.insert(told.from, sample);
            }
        }
    }

    /// The time of day, where this instance's own clock says `own_ms`.
    pub fn now_ms(&mut self, since_boot_ms: u64, own_ms: u64) -> u64 {
        self.samples
            .retain(|_, sample| since_boot_ms < sample.at_ms + STALE_MS);
        let own = ahead_ms(since_boot_ms, own_ms);
        // One that hears no clock goes on by what it was told last.
        if !self.samples.is_empty() || self.ahead_ms.is_none() {
            let heard = self.samples.values().map(|sample| sample.ahead_ms);
            let mut all: Vec<i64> = heard.chain([own]).collect();
            all.sort_unstable();
            self.ahead_ms = Some(all[all.len() / 2]);
        }
        let ahead_ms = self.ahead_ms.unwrap_or(own);
        since_boot_ms
            .cast_signed()
            .saturating_add(ahead_ms)
            .max(0)
            .cast_unsigned()
    }
}
