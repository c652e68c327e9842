//! Instances that choose engines by load figures that are out of date.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use relay::subset::engine_subset;
use view::InstanceKey;

const INSTANCES: usize = 80;
const ENGINES: usize = 80;

/// Time after which peers know what an instance has sent, in ms.
const GOSSIP_DELAY_MS: usize = 100;

/// Time for which an engine has a request, in ms.
const SERVICE_TIME_MS: usize = 60;

/// Mean load of the fullest engine at a thousand requests a second, each sent to the least loaded
/// engine of its instance's subset as that instance sees it.
fn mean_max_load(choose_subset: impl Fn(usize, &[String]) -> Vec<usize>) -> f64 {
    let engines: Vec<String> = (0..ENGINES).map(|each| format!("i-{each}")).collect();
    let subsets: Vec<Vec<usize>> = (0..INSTANCES)
        .map(|own| choose_subset(own, &engines))
        .collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut load = vec![0_usize; ENGINES];
    let mut history = VecDeque::from(vec![load.clone(); GOSSIP_DELAY_MS]);
    let mut recent: Vec<VecDeque<(usize, usize)>> = vec![VecDeque::new(); INSTANCES];
    let mut ends: VecDeque<(usize, usize)> = VecDeque::new();
    let mut total = 0;
    for now_ms in 0..5_000 {
        while ends.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            load[ends.pop_front().unwrap().1] -= 1;
        }
        let instance = rng.random_range(0..INSTANCES);
        let gossiped = history.pop_front().unwrap();
        // Its own sends are known to it without delay.
        recent[instance].retain(|(at_ms, _)| at_ms + GOSSIP_DELAY_MS > now_ms);
        let visible_load = |engine: usize| {
            gossiped[engine]
                + recent[instance]
                    .iter()
                    .filter(|(_, at)| *at == engine)
                    .count()
        };
        let engine = subsets[instance]
            .iter()
            .copied()
            .min_by_key(|at| visible_load(*at))
            .unwrap();
        recent[instance].push_back((now_ms, engine));
        load[engine] += 1;
        ends.push_back((now_ms + SERVICE_TIME_MS, engine));
        history.push_back(load.clone());
        total += load.iter().max().unwrap();
    }
    total as f64 / 5_000.0
}

/// Guards against all instances sending to the same idle engine until they learn of its load.
/// Eighty instances send a thousand requests a second to eighty engines and know each other's load
/// after 100 ms. Choosing among all engines, the fullest has a dozen requests where an even load is
/// less than one; choosing among a subset each, it has a third of that.
#[test]
fn subsets_keep_instances_from_sending_to_the_same_idle_engine() {
    let all = mean_max_load(|_, engines| (0..engines.len()).collect());
    let few = mean_max_load(|own, engines| {
        let indexed: Vec<(usize, &String)> = engines.iter().enumerate().collect();
        let own = InstanceKey::of(&format!("entry-{own}"));
        let subset = engine_subset(own, &indexed, |(_, engine)| engine.as_str());
        subset.into_iter().map(|(at, _)| at).collect()
    });
    assert!(all > 10.0, "{all}");
    assert!(few < all / 3.0, "{few} of {all}");
}

/// Each engine is in some instance's subset, and a small fleet is not divided.
#[test]
fn every_engine_is_in_a_subset() {
    let engines: Vec<String> = (0..ENGINES).map(|each| format!("i-{each}")).collect();
    let mut chosen = vec![0; ENGINES];
    for own in 0..INSTANCES {
        let own = InstanceKey::of(&format!("entry-{own}"));
        for engine in engine_subset(own, &engines, |engine| engine) {
            let at = engines.iter().position(|each| *each == engine).unwrap();
            chosen[at] += 1;
        }
    }
    assert!(chosen.iter().all(|count| *count > 0), "{chosen:?}");
    let few = &engines[..9];
    assert_eq!(
        engine_subset(InstanceKey::of("entry-1"), few, |engine| engine),
        few
    );
}
