//! Which engines may change their roles, and which of them change first.

use std::collections::HashMap;
use std::rc::Rc;

use plan::{HealthStatus, speed_class};

use crate::upstream::{Stage, Upstream};

/// Minimum age of an engine for an order, in ms; one that has just returned may be about to leave again.
const MIN_ENGINE_AGE_MS: u64 = 1_000;

/// Minimum time between two orders to one engine, in ms: an order may take effect up to 12 s late.
const ENGINE_PAUSE_MS: u64 = 15_000;

/// The engines that were ordered recently.
pub(super) struct Pauses<'a> {
    now_ms: u64,
    ordered_ms: &'a HashMap<String, u64>,
}

impl<'a> Pauses<'a> {
    /// The pauses as of `now_ms`, by the time of the last order to each engine.
    pub(super) fn new(now_ms: u64, ordered_ms: &'a HashMap<String, u64>) -> Self {
        Self { now_ms, ordered_ms }
    }

    /// Whether an engine may be ordered to change now.
    pub(super) fn may_change(&self, engine: &Upstream) -> bool {
        let now_ms = self.now_ms;
        let ordered_ms = self.ordered_ms.get(&engine.id);
        let is_paused = ordered_ms.is_some_and(|at_ms| now_ms < at_ms + ENGINE_PAUSE_MS);
        !is_paused
            && !engine.is_changing_role(now_ms)
            && engine.health_status(now_ms) == HealthStatus::Healthy
            && engine.accepts_requests(now_ms)
            && engine.age_ms(now_ms) >= MIN_ENGINE_AGE_MS
    }
}

/// Chooses the engines to change, one after the other: a fast one to prefill or a slow one to decode, then the one
/// with the lowest load in the zone with the fewest engines of the new role.
///
/// A prompt keeps a prefill engine busy, so a fast one serves more of them; a decode engine is bound by its slots.
pub(super) fn choose_engines<'a>(
    now_ms: u64,
    engines: &[Rc<Upstream>],
    eligible: impl Iterator<Item = &'a Rc<Upstream>>,
    stage: Stage,
    count: usize,
) -> Vec<Rc<Upstream>> {
    let mut in_zone: HashMap<&str, usize> = HashMap::new();
    for each in engines {
        let has_role = each.target_stage(now_ms) == stage;
        *in_zone.entry(&each.zone).or_default() += usize::from(has_role);
    }
    let mut candidates: Vec<&Rc<Upstream>> =
        eligible.filter(|each| each.stage() != stage).collect();
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let best = candidates.iter().enumerate().min_by(|(_, a), (_, b)| {
            let by_speed = speed_rank(a, stage).cmp(&speed_rank(b, stage));
            let by_zone = in_zone[a.zone.as_str()].cmp(&in_zone[b.zone.as_str()]);
            by_speed
                .then(by_zone)
                .then(a.load(now_ms).total_cmp(&b.load(now_ms)))
        });
        let Some((at, _)) = best else {
            break;
        };
        let engine = candidates.swap_remove(at);
        if let Some(count) = in_zone.get_mut(engine.zone.as_str()) {
            *count += 1;
        }
        chosen.push(Rc::clone(engine));
    }
    chosen
}

/// Place of an engine, by its speed, among those that may change to a stage; equal while no pace is known.
fn speed_rank(engine: &Upstream, stage: Stage) -> i32 {
    let class = speed_class(engine.lasting_factor());
    match stage {
        Stage::Prefill => class,
        Stage::Decode | Stage::Whole => -class,
    }
}
