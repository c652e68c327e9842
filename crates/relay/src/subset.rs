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
    by_hash(own, all, id)
        .into_iter()
        .take(SUBSET_SIZE)
        .cloned()
        .collect()
}

/// Like [`engine_subset`], but half of it is in the instance's own zone as far as the zone has that many
/// engines. A subset drawn over all of three zones has only a third there, too few to keep requests in the zone.
pub fn zone_subset<E: Clone>(
    own: InstanceKey,
    all: &[E],
    id: impl Fn(&E) -> &str,
    is_own_zone: impl Fn(&E) -> bool,
) -> Vec<E> {
    if all.len() <= SUBSET_SIZE {
        return all.to_vec();
    }
    let ranked = by_hash(own, all, id);
    let mut left_local = SUBSET_SIZE / 2;
    let (local, rest): (Vec<&E>, Vec<&E>) = ranked.into_iter().partition(|engine| {
        let is_taken = left_local > 0 && is_own_zone(engine);
        left_local -= usize::from(is_taken);
        is_taken
    });
    let subset = local.into_iter().chain(rest).take(SUBSET_SIZE);
    subset.cloned().collect()
}

/// All engines in the order of their rendezvous hashes with an instance.
fn by_hash<E>(own: InstanceKey, all: &[E], id: impl Fn(&E) -> &str) -> Vec<&E> {
    let mut ranked: Vec<(u64, &E)> = all
        .iter()
        .map(|engine| {
            (
                xxh3_64_with_seed(id(engine).as_bytes(), own.0.into()),
                engine,
            )
        })
        .collect();
    ranked.sort_unstable_by_key(|(hash, _)| *hash);
    ranked.into_iter().map(|(_, engine)| engine).collect()
}
