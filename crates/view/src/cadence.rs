//! How often the store is asked, by which instances, and for how long a read waits there.
//!
//! Load pattern: the store is silent for eight seconds and a version is written on its return. A
//! read that was sent before and waits would be given up seconds later. Every call has a price
//! and a rate that all instances share. So a few instances read for all and tell the others what a log
//! says ([`crate::followed`]): reads that wait where changes are rare, reads at intervals where something is
//! written all the time. Measured with 7 instances before 21 upstreams: 3.5 calls a second and
//! instance where each read for itself.

/// Time that a read of the configuration waits at the store, in ms: changes come at once, and the
/// others hear in time that none came.
const CONFIG_WAIT_MS: u64 = 600;

/// Time without word on the configuration after which an instance reads it itself, in ms: half of
/// the shortest time in which a version must be in force.
const CONFIG_AGE_MS: u64 = 1_000;

/// Pause after a failed call, in ms; short beside the bounds that hold once the store is back.
pub const RETRY_MS: u64 = 150;

/// Time between two looks at whether a log is to be read, in ms.
pub const LOOK_MS: u64 = 50;

/// Reads of the list of upstreams within the bound on leaving ones.
const READS_IN_BOUND: u64 = 3;

/// Instances for each that reads for them, up to the most readers.
const FOLLOWERS: usize = 16;

/// Most instances that read for all: a third of the instances may lose the store at once, and then all
/// of four do once in eighty times.
const MOST_READERS: usize = 4;

/// How an instance follows the store's logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    /// It reads for all.
    Reader,
    /// It reads as soon as the readers are late.
    Hub,
    /// It reads last of all, and still within the bounds: were hundreds to read whenever a few are late,
    /// their calls would crowd out those of the hubs.
    Other,
}

/// Duty of the instance that is `rank`th of `instances`, of which `hubs` are hubs.
pub fn duty(rank: usize, instances: usize, hubs: usize) -> Duty {
    if rank < instances.div_ceil(FOLLOWERS).min(MOST_READERS) {
        Duty::Reader
    } else if rank < hubs {
        Duty::Hub
    } else {
        Duty::Other
    }
}

/// Time that the next read of the configuration may wait, after one that was answered or not.
pub fn config_wait_ms(was_answered: bool) -> u64 {
    if was_answered { CONFIG_WAIT_MS } else { 0 }
}

/// Age of what is known of the configuration at which an instance reads it.
pub fn config_age_ms(duty: Duty) -> u64 {
    match duty {
        Duty::Reader => 0,
        Duty::Hub => CONFIG_AGE_MS,
        Duty::Other => CONFIG_AGE_MS * 3 / 2,
    }
}

/// Age of what is known of the list of upstreams at which an instance reads it, where new work for a
/// leaving one must end within `bound_ms`. Those that read for others do so earlier, and no other one
/// reads while it hears from them.
pub fn list_age_ms(bound_ms: u64, duty: Duty) -> u64 {
    let period_ms = bound_ms / READS_IN_BOUND;
    match duty {
        Duty::Reader => period_ms / 2,
        Duty::Hub => period_ms,
        Duty::Other => period_ms * 3 / 2,
    }
}
