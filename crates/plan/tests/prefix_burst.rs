//! Simulated bursts of long prompts with shared prefixes at prefill engines.
//!
//! As in production, engines prefill one prompt after the other at 61 tokens per ms, answer 90 ms
//! later, transfer the KV cache of each prompt to a decode engine, and evict the least recently
//! used prefixes. Arrivals and prefixes are drawn from fixed seeds.

use plan::{
    EngineView, KvLink, LatencyModel, PrefillSample, PrefixHolder, best_copy, cheapest, work_tokens,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const PREFILL_ENGINES: usize = 3;
const DECODE_ENGINES: usize = 6;
const PREFIXES: u64 = 45;
const PREFIX_TOKENS: f64 = 13_300.0;
const OWN_TOKENS: f64 = 3_700.0;
const TOKENS_PER_MS: f64 = 61.0;
const ANSWER_MS: f64 = 90.0;
const OBJECTIVE_MS: f64 = 800.0;
const CACHE_TOKENS: f64 = 300_000.0;
const LINK: KvLink = KvLink {
    token_bytes: 35_000.0,
    mbps: 300_000.0,
};

/// Mechanisms that a simulation can disable.
#[derive(Clone, Copy)]
struct Policy {
    copies: bool,
    weighs_memory: bool,
}

#[derive(Clone, Copy)]
struct CachedPrefix {
    id: u64,
    tokens: f64,
    /// Time from which it can be copied.
    ready_ms: f64,
}

#[derive(Default)]
struct Engine {
    free_at_ms: f64,
    /// Cached prefixes, the least recently used first.
    cache: Vec<CachedPrefix>,
}

impl Engine {
    fn cached(&self, id: u64) -> Option<&CachedPrefix> {
        self.cache.iter().find(|prefix| prefix.id == id)
    }

    fn touch(&mut self, id: u64, tokens: f64, ready_ms: f64) {
        let ready_ms = self.cached(id).map_or(ready_ms, |prefix| prefix.ready_ms);
        self.cache.retain(|prefix| prefix.id != id);
        self.cache.push(CachedPrefix {
            id,
            tokens,
            ready_ms,
        });
        while self.cache.iter().map(|prefix| prefix.tokens).sum::<f64>() > CACHE_TOKENS {
            self.cache.remove(0);
        }
    }
}

#[derive(Debug, Default, PartialEq)]
struct Outcome {
    prefilled_tokens: f64,
    in_time: usize,
}

fn simulate(policy: Policy, seed: u64, per_s: f64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut engines: Vec<Engine> = (0..PREFILL_ENGINES + DECODE_ENGINES)
        .map(|_| Engine::default())
        .collect();
    // A model that knows the engines' actual times, so that only the placement differs.
    let mut model = LatencyModel::default();
    for each in 0..400_u32 {
        let work = 500.0 + f64::from(each * 7_919 % 12_000);
        model.record_prefill(&PrefillSample {
            own_tokens: work,
            queued_tokens: 0.0,
            elapsed_ms: ANSWER_MS + work / TOKENS_PER_MS,
        });
    }
    let mut outcome = Outcome::default();
    let mut now_ms = 0.0;
    for request in 0..900_u64 {
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / per_s;
        let prefix = random.random_range(0..PREFIXES);
        let starts: Vec<(f64, f64)> = (0..PREFILL_ENGINES)
            .map(|index| start(&engines, index, prefix, now_ms, policy))
            .collect();
        let predicted = (0..PREFILL_ENGINES).map(|index| {
            let engine = &engines[index];
            let is_new = engine.cached(prefix).is_none() && policy.weighs_memory;
            let view = EngineView {
                queued_tokens: (engine.free_at_ms - now_ms).max(0.0) * TOKENS_PER_MS,
                cached_tokens: starts[index].0,
                copy_ms: starts[index].1,
                new_tokens: if is_new { PREFIX_TOKENS } else { 0.0 },
                ..EngineView::default()
            };
            model.predict_prefill(&view, PREFIX_TOKENS + OWN_TOKENS)
        });
        let (index, _) = cheapest(predicted).expect("an engine");
        let work = work_tokens(PREFIX_TOKENS + OWN_TOKENS, starts[index].0);
        let engine = &mut engines[index];
        let started_ms = engine.free_at_ms.max(now_ms) + starts[index].1;
        engine.free_at_ms = started_ms + work / TOKENS_PER_MS;
        engine.touch(prefix, PREFIX_TOKENS, engine.free_at_ms);
        engine.touch(PREFIXES + request, OWN_TOKENS, engine.free_at_ms);
        let ready_ms = engine.free_at_ms;
        let decode_engine = &mut engines[PREFILL_ENGINES + request as usize % DECODE_ENGINES];
        decode_engine.touch(prefix, PREFIX_TOKENS, ready_ms);
        decode_engine.touch(PREFIXES + request, OWN_TOKENS, ready_ms);
        let engine = &engines[index];
        outcome.prefilled_tokens += PREFIX_TOKENS + OWN_TOKENS - starts[index].0;
        let answered_ms = engine.free_at_ms + ANSWER_MS - now_ms;
        outcome.in_time += usize::from(answered_ms <= OBJECTIVE_MS);
    }
    outcome
}

/// Tokens of a prompt that an engine does not have to prefill, and the time to copy them.
fn start(engines: &[Engine], index: usize, id: u64, now_ms: f64, policy: Policy) -> (f64, f64) {
    let own = engines[index]
        .cached(id)
        .map_or(0.0, |prefix| prefix.tokens);
    let holders = engines.iter().map(|engine| {
        let ready = engine.cached(id).filter(|prefix| prefix.ready_ms <= now_ms);
        PrefixHolder {
            tokens: ready.map_or(0.0, |prefix| prefix.tokens),
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

/// Sum of five bursts of 20 long prompts per second, above the usual rate of 15.
fn simulate_bursts(policy: Policy) -> Outcome {
    let all = (1..=5).map(|seed| simulate(policy, seed, 20.0));
    all.fold(Outcome::default(), |sum, each| Outcome {
        prefilled_tokens: sum.prefilled_tokens + each.prefilled_tokens,
        in_time: sum.in_time + each.in_time,
    })
}

/// Prefill engines evict prefixes that decode engines still cache. Copying them back must save
/// prefill work and bring more answers in time.
#[test]
fn copies_save_prefill_work_in_a_burst() {
    let with = simulate_bursts(ALL);
    let without = simulate_bursts(Policy {
        copies: false,
        ..ALL
    });
    assert!(
        with.prefilled_tokens < without.prefilled_tokens * 0.92
            && with.in_time > without.in_time * 11 / 10,
        "{with:?} {without:?}"
    );
}

/// The prefixes in use fill two thirds of the memory of the prefill engines. If memory cost
/// nothing, each prefix would soon be on all of them, and further copies would evict prefixes that
/// are needed again.
#[test]
fn weighing_memory_keeps_more_prefixes_cached() {
    let with = simulate_bursts(ALL);
    let without = simulate_bursts(Policy {
        weighs_memory: false,
        ..ALL
    });
    assert!(
        with.prefilled_tokens < without.prefilled_tokens
            && with.in_time > without.in_time * 115 / 100,
        "{with:?} {without:?}"
    );
}

/// A copy is preferably taken from the same zone, and there from the engine with fewer requests. No
/// copy is made for a few tokens more, or if the engines have no links.
#[test]
fn the_copy_is_taken_from_the_nearest_engine_that_caches_most() {
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
