//! Which engines of a stage an instance chooses among.
//!
//! Load pattern: eighty instances see the same idle engine for as long as news of it takes, and all send
//! there what comes in that time; its streams pause for all that is read beside them. With a few engines
//! of its own each, an engine is chosen by a few instances, and each of them keeps connections to fewer.

use view::InstanceKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Engines of one stage among which an instance chooses, beside those that hold the prompt: more than the
/// smallest fleets have.
const SUBSET_SIZE: usize = 12;

/// The engines of an instance by their ids: always the same while they are there, and others for each
/// instance.
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
