//! Replay of zones whose demand swings, with and without the cost of crossings.

use plan::{PlacedStep, Prediction, ZoneChoice, ZoneRelation, ZoneTendency, cheapest, crossing_ms};

const ZONES: usize = 3;
const ENGINES_PER_ZONE: usize = 10;
const INSTANCES_PER_ZONE: usize = 4;
const GOSSIP_MS: usize = 50;
const DURATION_MS: usize = 30_000;
const WAVE_MS: f64 = 10_000.0;
const SWING: f64 = 0.55;
const WORK_MS: f64 = 100.0;
const GOAL_MS: f64 = 600.0;
const BODY_BYTES: f64 = 17_000.0;

#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    on_time: usize,
    crossed_bytes: f64,
    tendency_changes: usize,
}

/// Engines that an instance chooses from: 12, of which `own` are in its zone and the rest evenly in the others.
fn subset(zone: usize, instance: usize, own: usize) -> Vec<usize> {
    let mut engines = Vec::new();
    for other in 0..ZONES {
        let count = if other == zone {
            own
        } else {
            (12 - own) / (ZONES - 1)
        };
        let first = instance * 5 + zone * 3;
        let of_zone =
            (0..count).map(|at| other * ENGINES_PER_ZONE + (first + at) % ENGINES_PER_ZONE);
        engines.extend(of_zone);
    }
    engines
}

/// Plays the waves; `price` is none without the cost of crossings.
fn replay(mean_load: f64, price: Option<f64>) -> Outcome {
    let crossing = price.map(|price| crossing_ms(price, BODY_BYTES));
    let mut outcome = Outcome::default();
    let mut free_at_ms = [0.0_f64; ZONES * ENGINES_PER_ZONE];
    let mut known = free_at_ms;
    let mut own_sends = vec![[0.0_f64; ZONES * ENGINES_PER_ZONE]; ZONES * INSTANCES_PER_ZONE];
    let mut tendencies = [ZoneTendency::default(); ZONES * INSTANCES_PER_ZONE];
    let mut due = [0.0_f64; ZONES];
    for at in 0..DURATION_MS {
        let now_ms = at as f64;
        if at % GOSSIP_MS == 0 {
            known = free_at_ms;
            own_sends = vec![[0.0; ZONES * ENGINES_PER_ZONE]; ZONES * INSTANCES_PER_ZONE];
        }
        for (zone, due) in due.iter_mut().enumerate() {
            let phase = zone as f64 / ZONES as f64 + now_ms / WAVE_MS;
            let wave = 1.0 + SWING * (phase * std::f64::consts::TAU).sin();
            *due += mean_load * wave * ENGINES_PER_ZONE as f64 / WORK_MS;
            if *due < 1.0 {
                continue;
            }
            *due -= 1.0;
            outcome.requests += 1;
            let instance = outcome.requests * 7 / 3 % INSTANCES_PER_ZONE;
            let own = zone * INSTANCES_PER_ZONE + instance;
            let engines = subset(zone, instance, if crossing.is_some() { 6 } else { 4 });
            let relation = |engine: usize| {
                if engine / ENGINES_PER_ZONE == zone {
                    ZoneRelation::Own
                } else {
                    ZoneRelation::Other
                }
            };
            let travel_ms = |engine| {
                if relation(engine) == ZoneRelation::Own {
                    0.6
                } else {
                    3.0
                }
            };
            let predicted = |engine: usize| Prediction {
                wait_ms: (known[engine] - now_ms).max(0.0) + own_sends[own][engine],
                processing_ms: WORK_MS + travel_ms(engine),
                interference_ms: 0.0,
            };
            let chosen = match crossing {
                None => cheapest(engines.iter().map(|engine| predicted(*engine))),
                Some(crossing_ms) => {
                    let choice = ZoneChoice {
                        crossing_ms,
                        left_ms: GOAL_MS,
                        step: PlacedStep::Whole,
                        tendency: tendencies[own].relation(),
                    };
                    choice.cheapest(engines.iter().map(|at| (relation(*at), predicted(*at))))
                }
            };
            let engine = engines[chosen.expect("engines").0];
            let before = tendencies[own];
            tendencies[own].record(at as u64, relation(engine));
            outcome.tendency_changes += usize::from(before != tendencies[own]);
            own_sends[own][engine] += WORK_MS;
            let began_ms = free_at_ms[engine].max(now_ms);
            free_at_ms[engine] = began_ms + WORK_MS;
            let took_ms = free_at_ms[engine] + travel_ms(engine) - now_ms;
            outcome.on_time += usize::from(took_ms <= GOAL_MS);
            if relation(engine) == ZoneRelation::Other {
                outcome.crossed_bytes += BODY_BYTES;
            }
        }
    }
    outcome
}

/// Guards against bodies that cross zones without a gain, and against late requests where a zone is short of
/// engines while others have room.
#[test]
fn swinging_demand_crosses_zones_only_for_a_gain() {
    for mean_load in [0.6, 0.75, 0.95] {
        let without = replay(mean_load, None);
        let with = replay(mean_load, Some(plan::DEFAULT_CROSS_ZONE_PRICE));
        println!("{mean_load}: without {without:?}, with {with:?}");
        assert!(
            with.crossed_bytes * 2.0 <= without.crossed_bytes,
            "{with:?} {without:?}"
        );
        assert!(with.on_time >= without.on_time, "{with:?} {without:?}");
        let is_short = mean_load * (1.0 + SWING) > 1.0;
        assert!(
            !is_short || with.crossed_bytes > 0.0,
            "a zone short of engines uses others"
        );
        assert!(with.tendency_changes < without.tendency_changes);
    }
}

fn starts_after(wait_ms: f64) -> Prediction {
    Prediction {
        wait_ms,
        ..Prediction::default()
    }
}

fn chosen(own_ms: f64, other_ms: f64, tendency: ZoneRelation) -> usize {
    let choice = ZoneChoice {
        crossing_ms: 25.0,
        left_ms: GOAL_MS,
        step: PlacedStep::Whole,
        tendency,
    };
    let placements = [
        (ZoneRelation::Own, starts_after(own_ms)),
        (ZoneRelation::Other, starts_after(other_ms)),
    ];
    choice.cheapest(placements.into_iter()).expect("two").0
}

/// Guards against paying for a gain that no caller notices, and against choices that turn with each small wave.
#[test]
fn a_crossing_needs_a_gain_beyond_its_cost() {
    assert_eq!(chosen(290.0, 10.0, ZoneRelation::Own), 0, "both on time");
    assert_eq!(
        chosen(900.0, 10.0, ZoneRelation::Own),
        1,
        "only one on time"
    );
    assert_eq!(
        chosen(325.0, 300.0, ZoneRelation::Own),
        0,
        "gain as large as the cost"
    );
    assert_eq!(
        chosen(325.0, 300.0, ZoneRelation::Other),
        1,
        "already crossing"
    );
}

/// A body of 17 kB costs about as much as 25 ms.
#[test]
fn the_built_in_price_is_as_documented() {
    let cost_ms = crossing_ms(plan::DEFAULT_CROSS_ZONE_PRICE, BODY_BYTES);
    assert!((cost_ms - 25.0).abs() < 1.0, "{cost_ms}");
}
