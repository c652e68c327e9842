//! Deterministic subsetting: the engines of a stage that an instance chooses from.
//!
//! Gossip takes a moment, and until then all instances see the same idle engine. Eighty of them would
//! all send their requests there, and its streams would stall behind the prefills. With a subset for
//! each instance, only a few of them compete for an engine, and each keeps fewer connections.

use view::InstanceKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Size of the subset of one stage; larger than the smallest fleets. Engines that cache a prefix of the
/// prompt are added to it.
const SUBSET_SIZE: usize = 12;

/// The subset of an instance, by rendezvous hashing of engine ids: stable while its engines exist, and
/// different for each instance.
pub fn engine_subset<E: Clone>(own: InstanceKey, all: &[E], id: impl Fn(&E) -> &str) -> Vec<E> {
    if all.len() <= SUBSET_SIZE {
        return all.to_vec();
    }
    let mut subset: Vec<(u64, &E)> = all
        .iter()
        .map(|engine| {
            (
                xxh3_64_with_seed(id(engine).as_bytes(), own.0.into()),
                engine,
            )
        })
        .collect();
    subset.sort_unstable_by_key(|(hash, _)| *hash);
    let subset = subset.into_iter().take(SUBSET_SIZE);
    subset.map(|(_, engine)| engine.clone()).collect()
}
