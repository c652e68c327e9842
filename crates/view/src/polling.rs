//! How often the store's logs are polled, by which instances, and how long a read waits there.
//!
//! Every call has a price, and all instances share one rate limit. So a few instances read for the
//! fleet and gossip the result ([`crate::log_follower`]). A log that rarely changes is read by long
//! polls; a log that is written to constantly is read at intervals.
//!
//! A long poll that was sent before an outage of the store is given up only seconds after the store
//! returns, and a new version may be published as soon as it does. This limits how long a read may
//! wait.

/// Long-poll wait for the configuration, as a share of the time in which a new version must be in
/// force. Changes arrive at once, and peers learn in time that there was none.
const CONFIG_LONG_POLL_SHARE: f64 = 0.3;

/// Ages of the known configuration at which the other readers, the hubs and the remaining instances
/// read it themselves, in this order, as shares of the time in which a version must be in force.
/// The first reader always reads. Its long poll, the gossip through the hubs and one check interval
/// fit into the first share; after the last one there is time for a call that is given up and for a
/// second call.
const CONFIG_AGE_SHARES: [f64; 3] = [0.42, 0.5, 0.7];

/// Pause after a failed call, in ms; short compared with the bounds that hold once the store is
/// back.
pub const RETRY_PAUSE_MS: u64 = 150;

/// Pause after a failed call for an instance that is not a hub, as a share of the time in which a
/// version must be in force. Readers retry every [`RETRY_PAUSE_MS`] and gossip that the store is
/// back.
const OTHER_RETRY_SHARE: f64 = 0.25;

/// Interval at which an instance checks whether a log is due to be read, in ms.
pub const CHECK_INTERVAL_MS: u64 = 50;

/// Reads of the list of upstreams within the bound on leaving upstreams.
const LIST_READS_PER_BOUND: u64 = 3;

/// Instances per reader, until the maximum of readers is reached.
const INSTANCES_PER_READER: usize = 16;

/// Most instances that read for the fleet. If a third of the instances lose the store at once, all
/// of four readers do in about one of eighty cases.
const MAX_READERS: usize = 4;

/// The operators' bounds on how late an instance may learn of a change in the store, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// Time within which a leaving upstream must get no new work.
    pub drain_ms: u64,
    /// Time within which a new version of the configuration must be in force.
    pub config_ms: u64,
}

/// How an instance follows the store's logs; earlier variants read earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReaderRole {
    /// Reads for the fleet, before the other readers do.
    FirstReader,
    /// Reads for the fleet when the first reader is late.
    Reader,
    /// Reads as soon as all readers are late.
    Hub,
    /// Reads last, but still within the bounds. If hundreds of instances read whenever a few
    /// readers are late, their calls would crowd out those of the hubs.
    Other,
}

/// Role of the instance with this `rank` among `instances`, of which `hubs` are hubs.
pub fn reader_role(rank: usize, instances: usize, hubs: usize) -> ReaderRole {
    if rank == 0 {
        ReaderRole::FirstReader
    } else if rank < instances.div_ceil(INSTANCES_PER_READER).min(MAX_READERS) {
        ReaderRole::Reader
    } else if rank < hubs {
        ReaderRole::Hub
    } else {
        ReaderRole::Other
    }
}

impl ReaderRole {
    /// Whether the instance reads for the fleet.
    pub fn is_reader(self) -> bool {
        self <= Self::Reader
    }
}

impl FreshnessBounds {
    /// Long-poll wait of the next read of the configuration, in ms. After a failed read it is 0, so
    /// that the answer shows at once whether the store is back.
    pub fn config_long_poll_ms(&self, was_answered: bool) -> u64 {
        if was_answered {
            (self.config_ms as f64 * CONFIG_LONG_POLL_SHARE) as u64
        } else {
            0
        }
    }

    /// Pause after a failed call, in ms.
    ///
    /// Only readers and hubs retry at the short pause: if 295 instances called every 150 ms during
    /// an outage of seven seconds, they would make 27,000 calls, each of which has a price.
    pub fn retry_pause_ms(&self, role: ReaderRole) -> u64 {
        match role {
            ReaderRole::FirstReader | ReaderRole::Reader | ReaderRole::Hub => RETRY_PAUSE_MS,
            ReaderRole::Other => {
                ((self.config_ms as f64 * OTHER_RETRY_SHARE) as u64).max(RETRY_PAUSE_MS)
            }
        }
    }

    /// Age of the known configuration at which an instance reads it, in ms.
    pub fn max_config_age_ms(&self, role: ReaderRole) -> u64 {
        let [reader, hub, other] = CONFIG_AGE_SHARES;
        let share = match role {
            ReaderRole::FirstReader => 0.0,
            ReaderRole::Reader => reader,
            ReaderRole::Hub => hub,
            ReaderRole::Other => other,
        };
        (self.config_ms as f64 * share) as u64
    }

    /// Age of the known list of upstreams at which an instance reads it, in ms. Readers read
    /// earlier, so no other instance reads while gossip from them arrives.
    pub fn max_list_age_ms(&self, role: ReaderRole) -> u64 {
        let period_ms = self.drain_ms / LIST_READS_PER_BOUND;
        match role {
            ReaderRole::FirstReader => period_ms / 2,
            // Later than the first reader: readers that are due at the same time would each read
            // before they learn that another one has.
            ReaderRole::Reader => period_ms * 3 / 4,
            ReaderRole::Hub => period_ms,
            ReaderRole::Other => period_ms * 3 / 2,
        }
    }
}
