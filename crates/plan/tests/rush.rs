//! A rush of long prompts that share parts, replayed at engines that only read.
//!
//! Engines read 61 tokens a ms one prompt after the other, answer 90 ms after, hand each prompt
//! to an engine for output, and drop the parts used least recently, as those of the users do.
//! Arrivals and parts are drawn from fixed seeds.

use plan::{
    EngineView, KvLink, LatencyModel, PrefillSample, PrefixHolder, best_copy, cheapest, work_tokens,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const READERS: usize = 3;
const MAKERS: usize = 6;
const PARTS: u64 = 45;
const SHARED_TOKENS: f64 = 13_300.0;
const OWN_TOKENS: f64 = 3_700.0;
const TOKENS_A_MS: f64 = 61.0;
const ANSWER_MS: f64 = 90.0;
const OBJECTIVE_MS: f64 = 800.0;
const ROOM_TOKENS: f64 = 300_000.0;
const LINK: KvLink = KvLink {
    token_bytes: 35_000.0,
    mbps: 300_000.0,
};

/// Mechanisms that a replay can do without.
#[derive(Clone, Copy)]
struct Policy {
    copies: bool,
    weighs_memory: bool,
}

#[derive(Clone, Copy)]
struct Held {
    part: u64,
    tokens: f64,
    read_at_ms: f64,
}

#[derive(Default)]
struct Engine {
    free_at_ms: f64,
    cache: Vec<Held>,
}

impl Engine {
    fn holds(&self, part: u64) -> Option<&Held> {
        self.cache.iter().find(|held| held.part == part)
    }

    fn uses(&mut self, part: u64, tokens: f64, read_at_ms: f64) {
        let read_at_ms = self.holds(part).map_or(read_at_ms, |held| held.read_at_ms);
        self.cache.retain(|held| held.part != part);
        self.cache.push(Held {
            part,
            tokens,
            read_at_ms,
        });
        while self.cache.iter().map(|held| held.tokens).sum::<f64>() > ROOM_TOKENS {
            self.cache.remove(0);
        }
    }
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    read_tokens: f64,
    in_time: usize,
}

fn replay(policy: Policy, seed: u64, a_second: f64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..READERS + MAKERS).map(|_| Engine::default()).collect();
    // The engines' true pace, so that only the placing differs.
    let mut pace = LatencyModel::default();
    for each in 0..400_u32 {
        let work = 500.0 + f64::from(each * 7_919 % 12_000);
        pace.record_prefill(&PrefillSample {
            own_tokens: work,
            queued_tokens: 0.0,
            elapsed_ms: ANSWER_MS + work / TOKENS_A_MS,
        });
    }
    let mut outcome = Outcome::default();
    let mut now_ms = 0.0;
    for request in 0..900_u64 {
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / a_second;
        let part = random.random_range(0..PARTS);
        let starts: Vec<(f64, f64)> = (0..READERS)
            .map(|at| start(&engines, at, part, now_ms, policy))
            .collect();
        let predicted = (0..READERS).map(|at| {
            let engine = &engines[at];
            let is_new = engine.holds(part).is_none() && policy.weighs_memory;
            let view = EngineView {
                queued_tokens: (engine.free_at_ms - now_ms).max(0.0) * TOKENS_A_MS,
                cached_tokens: starts[at].0,
                copy_ms: starts[at].1,
                new_tokens: if is_new { SHARED_TOKENS } else { 0.0 },
                ..EngineView::default()
            };
            pace.predict_prefill(&view, SHARED_TOKENS + OWN_TOKENS)
        });
        let (at, _) = cheapest(predicted).expect("an engine");
        let work = work_tokens(SHARED_TOKENS + OWN_TOKENS, starts[at].0);
        let engine = &mut engines[at];
        let begins_ms = engine.free_at_ms.max(now_ms) + starts[at].1;
        engine.free_at_ms = begins_ms + work / TOKENS_A_MS;
        engine.uses(part, SHARED_TOKENS, engine.free_at_ms);
        engine.uses(PARTS + request, OWN_TOKENS, engine.free_at_ms);
        let read_at_ms = engine.free_at_ms;
        let maker = &mut engines[READERS + request as usize % MAKERS];
        maker.uses(part, SHARED_TOKENS, read_at_ms);
        maker.uses(PARTS + request, OWN_TOKENS, read_at_ms);
        let engine = &engines[at];
        outcome.read_tokens += SHARED_TOKENS + OWN_TOKENS - starts[at].0;
        let answered_ms = engine.free_at_ms + ANSWER_MS - now_ms;
        outcome.in_time += usize::from(answered_ms <= OBJECTIVE_MS);
    }
    outcome
}

/// Tokens that an engine need not read of a prompt, and the time to copy them.
fn start(engines: &[Engine], at: usize, part: u64, now_ms: f64, policy: Policy) -> (f64, f64) {
    let own = engines[at].holds(part).map_or(0.0, |held| held.tokens);
    let holders = engines.iter().map(|engine| {
        let read = engine.holds(part).filter(|held| held.read_at_ms <= now_ms);
        PrefixHolder {
            tokens: read.map_or(0.0, |held| held.tokens),
            is_same_zone: false,
            requests: 0.0,
        }
    });
    match best_copy(&LINK, own, holders) {
        Some(copied) if policy.copies => (copied.tokens, copied.transfer_ms),
        _ => (own, 0.0),
    }
}

const ALL: Policy = Policy {
    copies: true,
    weighs_memory: true,
};

/// Five rushes of twenty long prompts a second, above the usual fifteen.
fn rushes(policy: Policy) -> Outcome {
    let all = (1..=5).map(|seed| replay(policy, seed, 20.0));
    all.fold(Outcome::default(), |sum, each| Outcome {
        read_tokens: sum.read_tokens + each.read_tokens,
        in_time: sum.in_time + each.in_time,
    })
}

/// Parts yield at the engines that read while the engines for output still hold them. Copied from
/// there they need not be read again, and more answers are in time.
#[test]
fn copies_save_reading_in_a_rush() {
    let with = rushes(ALL);
    let without = rushes(Policy {
        copies: false,
        ..ALL
    });
    assert!(
        with.read_tokens < without.read_tokens * 0.92 && with.in_time > without.in_time * 11 / 10,
        "{with:?} {without:?}"
    );
}

/// The parts in use fill two thirds of the memory of the engines that read. Were it free, each
/// part would soon be at all of them, and what is needed again would yield to further copies.
#[test]
fn weighing_memory_keeps_more_parts_in_it() {
    let with = rushes(ALL);
    let without = rushes(Policy {
        weighs_memory: false,
        ..ALL
    });
    assert!(
        with.read_tokens < without.read_tokens && with.in_time > without.in_time * 115 / 100,
        "{with:?} {without:?}"
    );
}

/// A part held in the same zone is copied from there, and the idler of two equal engines serves.
/// A few tokens more are not worth a transfer, nor is any copy where engines have no links.
#[test]
fn the_copy_is_taken_from_the_nearest_engine_that_holds_most() {
    let holder = |tokens, is_same_zone, requests| PrefixHolder {
        tokens,
        is_same_zone,
        requests,
    };
    let far = holder(13_000.0, false, 0.0);
    let busy = holder(13_000.0, true, 9.0);
    let near = holder(13_000.0, true, 1.0);
    let little = holder(300.0, true, 0.0);
    let chosen = |own, holders: &[PrefixHolder]| best_copy(&LINK, own, holders.iter().copied());
    assert_eq!(
        chosen(0.0, &[far, busy, near]).map(|copy| copy.from),
        Some(2)
    );
    assert_eq!(chosen(0.0, &[little]), None);
    assert_eq!(chosen(12_900.0, &[near]), None);
    let unlinked = best_copy(&KvLink::default(), 0.0, [near].into_iter());
    assert_eq!(unlinked, None);
    let ms = |holder| chosen(0.0, &[holder]).map_or(0.0, |copy| copy.transfer_ms);
    assert!(
        ms(far) > ms(near) && ms(far) < 40.0,
        "{} {}",
        ms(far),
        ms(near)
    );
}
