//! The wall-clock time that the fleet agrees on.
//!
//! The clocks of a third of the machines may jump by seconds at once. An instance that used its own
//! clock would then count requests in other time windows than its peers, and close a window before
//! all counts have arrived. So a hub takes the median of the clocks it receives, which is right
//! while fewer than half of them are wrong, and the instances that report to it adopt its time.
//! Between two datagrams the time since boot advances the clock; it does not jump, and it counts
//! suspensions.

use std::collections::HashMap;

use crate::{GossipMessage, InstanceKey, MessageKind};

/// Age at which a received clock sample no longer counts, in ms.
const STALE_MS: u64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct Sample {
    offset_ms: i64,
    at_ms: u64,
}

/// One instance's estimate of the fleet's wall-clock time.
///
/// Its arguments are times since boot. It stores only differences between those and wall-clock
/// times.
#[derive(Debug, Clone, Default)]
pub struct FleetClock {
    samples: HashMap<InstanceKey, Sample>,
    offset_ms: Option<i64>,
}

fn offset_ms(since_boot_ms: u64, wall_ms: u64) -> i64 {
    wall_ms.cast_signed() - since_boot_ms.cast_signed()
}

impl FleetClock {
    /// Processes the clock of a peer's datagram. A digest carries the time of the hub, which is
    /// adopted.
    pub fn receive(&mut self, since_boot_ms: u64, message: &GossipMessage) {
        let offset_ms = offset_ms(since_boot_ms, message.clock_ms);
        match message.kind {
            MessageKind::Digest => self.offset_ms = Some(offset_ms),
            MessageKind::Report | MessageKind::Sum => {
                let sample = Sample {
                    offset_ms,
                    at_ms: since_boot_ms,
                };
                self.samples.insert(message.from, sample);
            }
        }
    }

    /// The fleet's time in ms since 1970, where this instance's own clock says `own_ms`.
    pub fn now_ms(&mut self, since_boot_ms: u64, own_ms: u64) -> u64 {
        self.samples
            .retain(|_, sample| since_boot_ms < sample.at_ms + STALE_MS);
        let own = offset_ms(since_boot_ms, own_ms);
        // An instance that receives no clock samples keeps the offset it adopted last.
        if !self.samples.is_empty() || self.offset_ms.is_none() {
            let received = self.samples.values().map(|sample| sample.offset_ms);
            let mut all: Vec<i64> = received.chain([own]).collect();
            all.sort_unstable();
            self.offset_ms = Some(all[all.len() / 2]);
        }
        let offset_ms = self.offset_ms.unwrap_or(own);
        since_boot_ms
            .cast_signed()
            .saturating_add(offset_ms)
            .max(0)
            .cast_unsigned()
    }
}
