//! How often the store is asked, and for how long a read waits there.
//!
//! Load pattern: the store is silent for eight seconds and a version is written on its return. A
//! read that was sent before and waits would be given up seconds later. Every call has a price
//! and a rate that all instances share, so reads that wait are used where changes are rare, and
//! reads at intervals where something changes all the time.

/// Time that a read of the configuration waits at the store, in ms: changes come at once, and a
/// connection that has gone silent is noticed within the bound on new versions.
const CONFIG_WAIT_MS: u64 = 1_500;

/// Pause after a failed call, in ms; short beside the bounds that hold once the store is back.
pub const RETRY_MS: u64 = 150;

/// Reads of the list of upstreams within the bound on leaving ones.
const READS_IN_BOUND: u64 = 3;

/// Time that the next read of the configuration may wait, after one that was answered or not.
pub fn config_wait_ms(was_answered: bool) -> u64 {
    if was_answered { CONFIG_WAIT_MS } else { 0 }
}

/// Time between two reads of the list of upstreams, where new work for a leaving one must end
/// within `bound_ms`.
pub fn list_period_ms(bound_ms: u64) -> u64 {
    bound_ms / READS_IN_BOUND
}
