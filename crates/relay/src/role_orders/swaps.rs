//! Swaps of a slow prefill engine against a fast decode engine.
//!
//! They are known only to the leader that ordered them. If it is lost between the two orders, the slow engine keeps
//! prefilling besides the fast one until the next leader finds the split wrong.

use std::rc::Rc;

use plan::{
    Demand, RoleSpeeds, RoleSplit, SplitChange, SwapEngine, SwapProgress, SwapStep, swap_pairs,
    swap_step,
};

use super::{ChangeReason, speed};
use crate::upstream::{Stage, Upstream};

/// A swap whose first order is in the log.
#[derive(Debug)]
struct Swap {
    /// Id of the engine that is to prefill.
    fast: String,
    /// Id of the engine that is to decode once the other prefills.
    slow: String,
    began_ms: u64,
}

/// The swaps in progress among the engines of a service.
#[derive(Debug, Default)]
pub(super) struct Swaps(Vec<Swap>);

impl Swaps {
    /// Records that the first order of a swap is in the log.
    pub(super) fn begin(&mut self, now_ms: u64, fast: &str, slow: &str) {
        self.0.push(Swap {
            fast: fast.to_owned(),
            slow: slow.to_owned(),
            began_ms: now_ms,
        });
    }

    /// Whether an engine is to decode as part of a swap.
    pub(super) fn has_slow(&self, id: &str) -> bool {
        self.0.iter().any(|each| each.slow == id)
    }

    /// The stage of an engine after its pending role change and the swaps in progress.
    pub(super) fn stage_after(&self, engine: &Upstream, now_ms: u64) -> Stage {
        if self.has_slow(&engine.id) {
            return Stage::Decode;
        }
        engine.target_stage(now_ms)
    }

    /// Forgets the swaps that are over, and returns the ids of the slow engines to be ordered now.
    pub(super) fn advance(
        &mut self,
        now_ms: u64,
        engines: &[Rc<Upstream>],
        wanted: Option<SplitChange>,
    ) -> Vec<String> {
        let is_more_prefill_wanted = wanted == Some(SplitChange::ToPrefill);
        let progress = |id: &str, stage: Stage| {
            let engine = engines.iter().find(|each| each.id == id);
            match engine {
                Some(engine) if engine.is_changing_role(now_ms) => SwapProgress::Away,
                Some(engine) if engine.stage() == stage => SwapProgress::Changed,
                Some(_) => SwapProgress::Unchanged,
                None => SwapProgress::Away,
            }
        };
        let mut due = Vec::new();
        self.0.retain(|swap| {
            let step = swap_step(
                now_ms.saturating_sub(swap.began_ms),
                progress(&swap.fast, Stage::Prefill),
                progress(&swap.slow, Stage::Decode),
                is_more_prefill_wanted,
            );
            match step {
                SwapStep::Wait => true,
                SwapStep::OrderSlow => {
                    due.push(swap.slow.clone());
                    true
                }
                SwapStep::End => false,
            }
        });
        due
    }

    /// The first orders of the swaps to begin now: fast engines are to prefill.
    pub(super) fn first_orders(
        &self,
        now_ms: u64,
        eligible: &[&Rc<Upstream>],
        demand: &Demand,
        split: &RoleSplit,
    ) -> Vec<(Rc<Upstream>, Stage, ChangeReason)> {
        let with_stage = |stage: Stage| {
            let known = eligible.iter().copied().filter(|each| {
                each.stage() == stage
                    && each.known_lasting_factor().is_some()
                    && !self.has_slow(&each.id)
            });
            let mut known: Vec<&Rc<Upstream>> = known.collect();
            known.sort_by(|a, b| a.load(now_ms).total_cmp(&b.load(now_ms)));
            known
        };
        let (prefill, decode) = (with_stage(Stage::Prefill), with_stage(Stage::Decode));
        let pairs = swap_pairs(
            &swap_engines(&prefill),
            &swap_engines(&decode),
            demand,
            split,
            self.0.len(),
        );
        let order = |pair: plan::SwapPair| {
            let reason = ChangeReason::SwapToPrefill {
                slow: prefill[pair.slow].id.clone(),
            };
            (Rc::clone(decode[pair.fast]), Stage::Prefill, reason)
        };
        pairs.into_iter().map(order).collect()
    }
}

/// The second orders of swaps: slow engines are to decode.
pub(super) fn second_orders(
    eligible: &[&Rc<Upstream>],
    slow_ids: &[String],
) -> Vec<(Rc<Upstream>, Stage, ChangeReason)> {
    let slow = eligible.iter().filter(|each| slow_ids.contains(&each.id));
    let order =
        |engine: &&Rc<Upstream>| (Rc::clone(engine), Stage::Decode, ChangeReason::SwapToDecode);
    slow.map(order).collect()
}

/// Mean speeds of the engines in each role.
pub(super) fn role_speeds(prefill: &[&Rc<Upstream>], decode: &[&Rc<Upstream>]) -> RoleSpeeds {
    let speeds = |engines: &[&Rc<Upstream>]| -> Vec<f64> {
        engines.iter().map(|each| speed(each)).collect()
    };
    RoleSpeeds::of(&speeds(prefill), &speeds(decode))
}

fn swap_engines<'a>(engines: &[&'a Rc<Upstream>]) -> Vec<SwapEngine<'a>> {
    let engine = |each: &&'a Rc<Upstream>| SwapEngine {
        lasting_factor: 1.0 / speed(each),
        zone: &each.zone,
    };
    engines.iter().map(engine).collect()
}
