//! How often the store is asked, by which instances, and for how long a read waits there.
//!
//! Load pattern: the store is silent for eight seconds and a version is written on its return. A
//! read that was sent before and waits would be given up seconds later. Every call has a price
//! and a rate that all instances share. So a few instances read for all and tell the others where a log
//! stands (`followed`): reads that wait where changes are rare, reads at intervals where something is
//! written all the time. Measured with 7 instances before 21 upstreams: 3.5 calls a second and
//! instance where each read for itself.

/// Time that a read of the configuration waits at the store, in ms: changes come at once, and the
/// others hear in time that none came.
const CONFIG_WAIT_MS: u64 = 600;

/// Time without word on the configuration after which an instance reads it itself, in ms: half of
/// the time in which a version must be in force.
const CONFIG_AGE_MS: u64 = 1_000;

/// Pause after a failed call, in ms; short beside the bounds that hold once the store is back.
pub const RETRY_MS: u64 = 150;

/// Time between two looks at whether a log is to be read, in ms.
pub const LOOK_MS: u64 = 50;

/// Reads of the list of upstreams within the bound on leaving ones.
const READS_IN_BOUND: u64 = 3;

/// Instances for each that reads for them: with 8 told at a time, all hear within three tellings.
const FOLLOWERS: usize = 16;

/// Instances up to which heartbeats come at the shortest period.
const FEW_INSTANCES: usize = 20;

/// Time between two heartbeats of one of few instances, in ms; who falls silent shows earlier in what
/// instances tell each other, and who comes or leaves writes at once.
const BEAT_MS: u64 = 2_500;

/// Time that the next read of the configuration may wait, after one that was answered or not.
pub fn config_wait_ms(was_answered: bool) -> u64 {
    if was_answered { CONFIG_WAIT_MS } else { 0 }
}

/// Age of what is known of the configuration at which an instance reads it.
pub fn config_age_ms(reads_for_others: bool) -> u64 {
    if reads_for_others { 0 } else { CONFIG_AGE_MS }
}

/// Age of what is known of the list of upstreams at which an instance reads it, where new work for a
/// leaving one must end within `bound_ms`. Those that read for others do so earlier, and no other one
/// reads while it hears from them.
pub fn list_age_ms(bound_ms: u64, reads_for_others: bool) -> u64 {
    let period_ms = bound_ms / READS_IN_BOUND;
    if reads_for_others {
        period_ms / 2
    } else {
        period_ms
    }
}

/// Whether the instance that is `rank`th of `instances` by name reads for others.
pub fn reads_for_others(rank: usize, instances: usize) -> bool {
    rank < instances.div_ceil(FOLLOWERS)
}

/// Time between two heartbeats of one of `instances`, in ms.
pub fn beat_ms(instances: usize) -> u64 {
    if instances <= FEW_INSTANCES {
        BEAT_MS
    } else {
        2 * BEAT_MS
    }
}
