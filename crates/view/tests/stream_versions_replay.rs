//! Replays of version swaps while instances are killed: no stream goes on at another version than began it.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};

use common::version_storm::{Case, Ends, KILL_MS, Outcome, Rules, Store, Storm, Swap};

const SIZES: [usize; 5] = [2, 6, 24, 90, 300];

const THREADS: usize = 6;

const ONE_VERSION: &str = "one version";

/// How versions change around the kill, with the name of each way.
fn swaps() -> Vec<(&'static str, Vec<Swap>)> {
    let swap = |before_ms, length_ms, of_100| Swap {
        from_ms: KILL_MS - before_ms,
        length_ms,
        of_100,
    };
    vec![
        (ONE_VERSION, vec![]),
        ("fast, old just gone", vec![swap(2_500, 1_500, 100)]),
        ("fast, at the kill", vec![swap(1_000, 2_000, 100)]),
        ("fast, to half", vec![swap(4_000, 2_000, 50)]),
        ("slow", vec![swap(6_000, 12_000, 100)]),
        (
            "three versions",
            vec![swap(4_500, 1_500, 80), swap(2_000, 1_500, 40)],
        ),
    ]
}

const ENDS: [Ends; 5] = [
    Ends::Tenth,
    Ends::Most,
    Ends::All,
    Ends::AllTwice,
    Ends::OneAfterTheOther,
];

const STORES: [(&str, Store); 4] = [
    ("there", Store::There),
    ("late", Store::Late),
    (
        "away",
        Store::Away {
            from_ms: KILL_MS - 1_200,
            to_ms: KILL_MS + 2_800,
        },
    ),
    (
        "older copy",
        Store::OlderCopy {
            from_ms: KILL_MS - 300,
            to_ms: KILL_MS + 300,
        },
    ),
];

/// A case with the names of its swap and its store.
type Named = (&'static str, &'static str, Case);

fn cases(instances: usize) -> Vec<Named> {
    let mut cases = Vec::new();
    for (name, swaps) in swaps() {
        for ends in ENDS {
            for (store_name, store) in STORES {
                let seed = (cases.len() * 1_000 + instances) as u64;
                let case = Case {
                    name,
                    instances,
                    seed,
                    swaps: swaps.clone(),
                    ends,
                    store,
                };
                cases.push((name, store_name, case));
            }
        }
    }
    cases
}

/// Runs all cases under some rules, in a few threads.
fn replay(rules: Rules) -> Vec<(Named, Outcome)> {
    let all: Vec<Named> = SIZES.into_iter().rev().flat_map(cases).collect();
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let Some(named) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
            done.push((named.clone(), Storm::run(named.2.clone(), rules)));
        }
        done
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined.flat_map(|each| each.expect("a replay")).collect()
    })
}

fn print_sums(title: &str, all: &[(Named, Outcome)], group: impl Fn(&Named) -> String) {
    let mut sums: BTreeMap<String, Outcome> = BTreeMap::new();
    for (named, outcome) in all {
        sums.entry(group(named)).or_default().add(outcome);
    }
    println!("{title}: streams, taken up, possible, went on, share, of new, mixed, refused");
    for (name, sum) in sums {
        println!(
            "| {name} | {} | {} | {} | {} | {:.3} | {:.3} | {} | {} |",
            sum.streams,
            sum.taken_up,
            sum.possible,
            sum.went_on,
            sum.share(),
            sum.new_share(),
            sum.mixed,
            sum.refused
        );
    }
}

/// The cases with one way of the store.
fn only(all: &[(Named, Outcome)], store: Store) -> Vec<(Named, Outcome)> {
    let is_it = |each: &&(Named, Outcome)| each.0.2.store == store;
    all.iter().filter(is_it).cloned().collect()
}

fn print_all(rules: Rules, all: &[(Named, Outcome)]) {
    print_sums(&format!("{rules:?}"), all, |_| "all".into());
    print_sums("by size", all, |each| format!("{:>3}", each.2.instances));
    print_sums("by swap", all, |each| each.0.into());
    print_sums("by end", all, |each| format!("{:?}", each.2.ends));
    print_sums(
        "by swap with the store there",
        &only(all, Store::There),
        |each| format!("{}, {:?}", each.0, each.2.ends),
    );
    print_sums("one version", all, |each| {
        let is_one = each.2.swaps.is_empty();
        format!("{is_one}, {}, {:?}", each.1, each.2.ends)
    });
    print_sums("by store", all, |each| each.1.into());
}

/// Guards against a model that cannot show the fault: under the rules of before streams mix and are refused.
#[test]
fn under_the_rules_of_before_streams_mix() {
    let all = replay(Rules::Old);
    print_all(Rules::Old, &all);
    assert!(all.iter().any(|(_, outcome)| outcome.mixed > 0));
}

/// Guards against streams of two versions and needless refusals after kills, swaps and outages of the store.
#[test]
fn no_stream_goes_on_at_another_version() {
    let all = replay(Rules::New);
    print_all(Rules::New, &all);
    for ((name, store, case), outcome) in &all {
        let what = format!("{name}, {:?}, {store}, {}", case.ends, case.instances);
        assert_eq!(outcome.mixed, 0, "{what}: {outcome:?}");
    }
}

/// Guards against callers whose streams are refused although engines of their version serve.
///
/// They go on about as often as new ones begin where one version served, and at least half of them elsewhere; where one
/// version served none is refused for its origin.
#[test]
fn streams_go_on_while_the_store_is_there() {
    let all = only(&replay(Rules::New), Store::There);
    let mut sums: BTreeMap<(usize, &str, String), Outcome> = BTreeMap::new();
    for ((name, _, case), outcome) in &all {
        let group = (case.instances, *name, format!("{:?}", case.ends));
        sums.entry(group).or_default().add(outcome);
    }
    let is_broken = |(_, name, _): &(usize, &str, String), sum: &Outcome| {
        if *name == ONE_VERSION {
            sum.refused > 0 || sum.share() < 0.95 * sum.new_share()
        } else {
            sum.possible > 0 && sum.share() < 0.5
        }
    };
    let broken: Vec<_> = sums
        .iter()
        .filter(|(group, sum)| is_broken(group, sum))
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
}
