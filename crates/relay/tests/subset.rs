//! Instances that choose engines by views that are a moment old.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use relay::subset::engine_subset;
use view::InstanceKey;

const INSTANCES: usize = 80;
const ENGINES: usize = 80;

/// Time in which what one instance sends is known to the others, in ms.
const LAG_MS: usize = 100;

/// Time for which an engine has a request, in ms.
const SERVED_MS: usize = 60;

/// Requests at the fullest engine on average, where each of a thousand requests a second goes to the engine
/// that is least full of those among which its instance chooses, as that one sees them.
fn fullest(chooses: impl Fn(usize, &[String]) -> Vec<usize>) -> f64 {
    let engines: Vec<String> = (0..ENGINES).map(|each| format!("i-{each}")).collect();
    let among: Vec<Vec<usize>> = (0..INSTANCES).map(|own| chooses(own, &engines)).collect();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut load = vec![0_usize; ENGINES];
    let mut history = VecDeque::from(vec![load.clone(); LAG_MS]);
    let mut own: Vec<VecDeque<(usize, usize)>> = vec![VecDeque::new(); INSTANCES];
    let mut ends: VecDeque<(usize, usize)> = VecDeque::new();
    let mut sum = 0;
    for now_ms in 0..5_000 {
        while ends.front().is_some_and(|(at_ms, _)| *at_ms <= now_ms) {
            load[ends.pop_front().unwrap().1] -= 1;
        }
        let who = rng.random_range(0..INSTANCES);
        let old = history.pop_front().unwrap();
        // What it sent itself since then it knows.
        own[who].retain(|(at_ms, _)| at_ms + LAG_MS > now_ms);
        let seen =
            |engine: usize| old[engine] + own[who].iter().filter(|(_, at)| *at == engine).count();
        let engine = among[who]
            .iter()
            .copied()
            .min_by_key(|at| seen(*at))
            .unwrap();
        own[who].push_back((now_ms, engine));
        load[engine] += 1;
        ends.push_back((now_ms + SERVED_MS, engine));
        history.push_back(load.clone());
        sum += load.iter().max().unwrap();
    }
    sum as f64 / 5_000.0
}

/// Eighty instances send a thousand requests a second to eighty engines, and see each other a tenth of a
/// second late. Among all engines they send to the same idle one until they hear of it, and it has a dozen
/// requests where one in an engine would do. Among a few of its own each, the fullest has a third of that.
#[test]
fn instances_do_not_send_all_to_the_same_idle_engine() {
    let all = fullest(|_, engines| (0..engines.len()).collect());
    let few = fullest(|own, engines| {
        let named: Vec<(usize, &String)> = engines.iter().enumerate().collect();
        let own = InstanceKey::of(&format!("entry-{own}"));
        let near = engine_subset(own, &named, |(_, engine)| engine.as_str());
        near.into_iter().map(|(at, _)| at).collect()
    });
    assert!(all > 10.0, "{all}");
    assert!(few < all / 3.0, "{few} of {all}");
}

/// Each engine is one of somebody's, and a small fleet is chosen among whole.
#[test]
fn no_engine_is_left_out() {
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
