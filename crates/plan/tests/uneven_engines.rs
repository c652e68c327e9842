//! Replay of prompts at prefill engines of three speeds with passing slowdowns, placed by 61 instances that learn
//! of each other only by late gossip, a part of which is lost.

use std::collections::VecDeque;

use plan::{EngineView, LatencyModel, Pace, PaceEstimator, PrefillSample, cheapest, work_tokens};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const INSTANCES: usize = 61;
const ENGINES: usize = 26;
const REQUESTS: u64 = 6_000;
const PER_S: f64 = 70.0;
const TOKENS_PER_MS: f64 = 61.0;
const ANSWER_MS: f64 = 90.0;
const OBJECTIVE_MS: f64 = 600.0;
const GOSSIP_MS: f64 = 120.0;
const LOST_FRACTION: f64 = 0.2;
/// Fraction of the time in which an engine is slowed down, by which factor, and for how long.
const SLOWED_FRACTION: f64 = 0.15;
const SLOWDOWN: f64 = 2.5;
const SLOWDOWN_MS: (f64, f64) = (100.0, 600.0);

/// What placement knows of the paces.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Knowledge {
    /// Nothing: each engine counts as one of usual speed.
    Nothing,
    /// What answers and gossip tell.
    Estimated,
    /// The pace of each engine as it is.
    Everything,
}

struct Engine {
    lasting: f64,
    /// Times at which slowdowns begin and end, in turn.
    slowdowns: Vec<f64>,
    free_at_ms: f64,
    /// Prompts that have not been answered: when they were placed, by whom, their work, and when they are answered.
    queue: VecDeque<(f64, usize, f64, f64)>,
}

impl Engine {
    fn new(number: usize, random: &mut Pcg64Mcg, until_ms: f64) -> Self {
        let mut slowdowns = Vec::new();
        let mut at_ms = 0.0;
        let mean_ms = f64::midpoint(SLOWDOWN_MS.0, SLOWDOWN_MS.1);
        let pause_ms = mean_ms * (1.0 - SLOWED_FRACTION) / SLOWED_FRACTION;
        while at_ms < until_ms {
            at_ms += -(1.0 - random.random::<f64>()).ln() * pause_ms;
            slowdowns.push(at_ms);
            at_ms += random.random_range(SLOWDOWN_MS.0..SLOWDOWN_MS.1);
            slowdowns.push(at_ms);
        }
        Self {
            lasting: [0.6, 1.0, 1.6][number % 3],
            slowdowns,
            free_at_ms: 0.0,
            queue: VecDeque::new(),
        }
    }

    fn pace(&self, at_ms: f64) -> f64 {
        let passed = self.slowdowns.partition_point(|edge_ms| *edge_ms <= at_ms);
        self.lasting * if passed % 2 == 1 { SLOWDOWN } else { 1.0 }
    }

    /// When work that starts at `at_ms` and usually takes `usual_ms` is done.
    fn done_ms(&self, mut at_ms: f64, mut usual_ms: f64) -> f64 {
        loop {
            let passed = self.slowdowns.partition_point(|edge_ms| *edge_ms <= at_ms);
            let until_ms = self.slowdowns.get(passed).copied().unwrap_or(f64::MAX);
            let pace = self.pace(at_ms);
            if at_ms + usual_ms * pace <= until_ms {
                return at_ms + usual_ms * pace;
            }
            usual_ms -= (until_ms - at_ms) / pace;
            at_ms = until_ms;
        }
    }

    /// Work queued there as an instance knows it: its own at once, that of others late.
    fn known_tokens(&self, instance: usize, now_ms: f64) -> f64 {
        let is_known = |placed_ms: f64, by: usize| by == instance || placed_ms + GOSSIP_MS < now_ms;
        let known = self.queue.iter().filter(|(placed_ms, by, _, done_ms)| {
            is_known(*placed_ms, *by)
                && if *by == instance {
                    *done_ms > now_ms
                } else {
                    done_ms + GOSSIP_MS > now_ms
                }
        });
        known.map(|(_, _, tokens, _)| tokens).sum()
    }
}

/// An answer that an instance will know of: when, and with what figure of which time.
struct Answer {
    known_ms: f64,
    instance: usize,
    engine: usize,
    at_ms: f64,
    pace: f64,
    sample: Option<(PrefillSample, f64)>,
}

#[derive(Debug)]
struct Outcome {
    on_time: f64,
    mean_ms: f64,
    off_by: f64,
}

fn replay(knowledge: Knowledge, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let until_ms = REQUESTS as f64 * 1_000.0 / PER_S + 10_000.0;
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|number| Engine::new(number, &mut random, until_ms))
        .collect();
    let mut estimators = vec![vec![PaceEstimator::default(); ENGINES]; INSTANCES];
    let mut models = vec![LatencyModel::default(); INSTANCES];
    let mut answers: Vec<Answer> = Vec::new();
    let (mut now_ms, mut on_time, mut total_ms, mut off_by) = (0.0, 0, 0.0, 0.0);
    for _ in 0..REQUESTS {
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / PER_S;
        let instance = random.random_range(0..INSTANCES);
        let tokens = random.random_range(2_000.0..17_000.0);
        let (due, rest): (Vec<Answer>, Vec<Answer>) = answers
            .into_iter()
            .partition(|each| each.known_ms <= now_ms);
        answers = rest;
        for answer in due {
            let pace = Pace::from_percent(answer.pace * 100.0).expect("a pace");
            estimators[answer.instance][answer.engine].record(answer.at_ms as u64, pace);
            if let Some((sample, factor)) = answer.sample {
                models[answer.instance].record_prefill(&sample.at_usual_speed(factor));
            }
        }
        let factor = |number: usize| match knowledge {
            Knowledge::Nothing => 1.0,
            Knowledge::Estimated => estimators[instance][number].time_factor(now_ms as u64, 0),
            Knowledge::Everything => engines[number].pace(now_ms),
        };
        let views: Vec<EngineView> = (0..ENGINES)
            .map(|number| EngineView {
                queued_tokens: engines[number].known_tokens(instance, now_ms),
                time_factor: factor(number),
                ..EngineView::default()
            })
            .collect();
        let model = &models[instance];
        let predicted = views.iter().map(|view| model.predict_prefill(view, tokens));
        let (number, first) = cheapest(predicted).expect("an engine");
        let view = views[number];
        let engine = &mut engines[number];
        let work = work_tokens(tokens, 0.0);
        let started_ms = engine.free_at_ms.max(now_ms);
        engine.free_at_ms = engine.done_ms(started_ms, work / TOKENS_PER_MS);
        let answered_ms = engine.done_ms(engine.free_at_ms, ANSWER_MS);
        engine
            .queue
            .push_back((now_ms, instance, work, answered_ms));
        engine
            .queue
            .retain(|(.., done_ms)| done_ms + 2.0 * GOSSIP_MS > now_ms);
        let took_ms = answered_ms - now_ms;
        on_time += u32::from(took_ms <= OBJECTIVE_MS);
        total_ms += took_ms;
        off_by += (took_ms / first.total_ms()).ln().abs();
        let sample = PrefillSample {
            own_tokens: work,
            queued_tokens: view.queued_tokens,
            elapsed_ms: took_ms,
        };
        let pace = engine.pace(answered_ms);
        for other in 0..INSTANCES {
            let is_own = other == instance;
            if is_own || random.random::<f64>() >= LOST_FRACTION {
                answers.push(Answer {
                    known_ms: answered_ms + if is_own { 0.0 } else { GOSSIP_MS },
                    instance: other,
                    engine: number,
                    at_ms: answered_ms,
                    pace,
                    sample: is_own.then_some((sample, view.time_factor)),
                });
            }
        }
    }
    let requests = REQUESTS as f64;
    Outcome {
        on_time: f64::from(on_time) / requests,
        mean_ms: total_ms / requests,
        off_by: off_by / requests,
    }
}

/// Placement that knows nothing of paces sends prompts to slow engines while fast ones are idle.
#[test]
fn estimated_paces_place_nearly_as_well_as_known_ones() {
    for seed in 1..=3 {
        let [nothing, estimated, everything] = [
            Knowledge::Nothing,
            Knowledge::Estimated,
            Knowledge::Everything,
        ]
        .map(|knowledge| replay(knowledge, seed));
        println!("seed {seed}: {nothing:?} {estimated:?} {everything:?}");
        assert!(
            estimated.on_time > nothing.on_time + 0.03,
            "{estimated:?} {nothing:?}"
        );
        assert!(
            estimated.mean_ms < nothing.mean_ms * 0.9,
            "{estimated:?} {nothing:?}"
        );
        assert!(
            estimated.on_time > everything.on_time - 0.05,
            "{estimated:?} {everything:?}"
        );
        assert!(
            estimated.off_by < nothing.off_by,
            "{estimated:?} {nothing:?}"
        );
    }
}
