//! Plans the roles of engines and decides when a role change is worth its cost.

use conf::Role;

use crate::{EngineProfile, Fleet, Forecast, Presence, RANKS};

/// Longest time between two tokens that callers of short answers accept.
const MAX_ITERATION_MS: f64 = 48.0;

/// Time that an engine takes to finish its requests before a role change.
const DRAIN_MS: f64 = 5_000.0;

/// Fraction of an engine's batch that can be used: requests arrive in clusters and are not spread
/// evenly over the engines.
const USABLE_BATCH: f64 = 0.85;

/// Multiple of its cost that a change must gain in addition at change weight 1.
const MAX_EXTRA_GAIN: f64 = 20.0;

/// Weights and limits of role changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleSettings {
    /// From the bundle: at 0 any gain in goodput justifies a change, at 1 hardly any does.
    pub change_weight: f64,
    /// Shortest time for which an engine keeps a role.
    pub min_role_ms: u64,
    /// Fraction of the engines that may change at the same time; one always may.
    pub max_changing_share: f64,
    /// Time for which the forecast mix is expected to last.
    pub horizon_ms: f64,
    /// Time for which a change must have been worth its cost before it is planned.
    pub settle_ms: u64,
}

impl Default for RoleSettings {
    fn default() -> Self {
        Self {
            change_weight: 0.3,
            min_role_ms: 30_000,
            max_changing_share: 0.12,
            horizon_ms: 60_000.0,
            settle_ms: 4_000,
        }
    }
}

/// Number of engines in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCounts {
    /// Engines for long prompts.
    pub prefill: usize,
    /// Engines for output.
    pub decode: usize,
    /// Engines for both.
    pub mixed: usize,
}

/// A role change of one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Index of the engine in the fleet.
    pub engine: usize,
    /// Its new role.
    pub role: Role,
}

/// Plans the roles of the engines of one lease group.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    settings: RoleSettings,
    /// Time of the last change of each engine.
    changed_ms: std::collections::HashMap<usize, u64>,
    /// The target and the time since which it has not changed.
    target_since_ms: Option<(RoleCounts, u64)>,
}

impl RolePlanner {
    /// A planner that has planned no changes.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            changed_ms: std::collections::HashMap::new(),
            target_since_ms: None,
        }
    }

    /// Changes among `engines` that are worth their cost now; `allows` returns whether an engine
    /// may have a role.
    pub fn plan(
        &mut self,
        now_ms: u64,
        fleet: &Fleet,
        engines: &[usize],
        forecast: &Forecast,
        allows: impl Fn(usize, Role) -> bool,
    ) -> Vec<RoleChange> {
        let live: Vec<usize> = engines
            .iter()
            .copied()
            .filter(|&index| fleet.get(index).presence == Presence::Live)
            .collect();
        let changing = engines
            .iter()
            .filter(|&&index| fleet.get(index).presence == Presence::Changing)
            .count();
        let at_once = ((engines.len() as f64 * self.settings.max_changing_share) as usize).max(1);
        if live.len() < 2 || changing >= at_once {
            return Vec::new();
        }
        let profile = fleet.get(live[0]).profile;
        let current = count(fleet, &live);
        let Some(target) = self.target(&profile, current, forecast) else {
            self.target_since_ms = None;
            return Vec::new();
        };
        let since_ms = match self.target_since_ms {
            Some((previous, since_ms)) if previous == target => since_ms,
            _ => now_ms,
        };
        self.target_since_ms = Some((target, since_ms));
        if now_ms < since_ms + self.settings.settle_ms {
            return Vec::new();
        }
        let mut changes = self.planned_changes(now_ms, fleet, &live, current, target, allows);
        changes.truncate(at_once - changing);
        for change in &changes {
            self.changed_ms.insert(change.engine, now_ms);
        }
        changes
    }

    /// The best of the assignments that differ in one engine's role, if its gain over the horizon
    /// is worth the engine time that the change costs.
    fn target(
        &self,
        profile: &EngineProfile,
        current: RoleCounts,
        forecast: &Forecast,
    ) -> Option<RoleCounts> {
        let now = completion_rate(profile, current, forecast);
        let best = neighbours(current)
            .into_iter()
            .map(|next| (next, completion_rate(profile, next, forecast)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        let engines = (current.prefill + current.decode + current.mixed) as f64;
        // An engine takes no new work while it drains and changes, so its part of the requests is
        // lost for that time.
        let cost = (profile.change_ms as f64 + DRAIN_MS) / engines * now.max(1e-9);
        let gain = (best.1 - now) * self.settings.horizon_ms;
        let factor = 1.0 + MAX_EXTRA_GAIN * self.settings.change_weight;
        (gain > cost * factor).then_some(best.0)
    }

    fn planned_changes(
        &self,
        now_ms: u64,
        fleet: &Fleet,
        live: &[usize],
        current: RoleCounts,
        target: RoleCounts,
        allows: impl Fn(usize, Role) -> bool,
    ) -> Vec<RoleChange> {
        let (from, to) = changed_roles(current, target);
        let may_change = |index: &usize| {
            let changed_ms = self.changed_ms.get(index);
            changed_ms.is_none_or(|changed_ms| now_ms >= changed_ms + self.settings.min_role_ms)
        };
        let mut candidates: Vec<usize> = live
            .iter()
            .copied()
            .filter(|&index| fleet.get(index).role == from && allows(index, to))
            .filter(may_change)
            .collect();
        // The engine with the least output left to produce is the cheapest to change.
        candidates.sort_by(|&a, &b| {
            let load = |index: usize| fleet.get(index).load(now_ms).output;
            load(a).total_cmp(&load(b))
        });
        let first = candidates.first();
        first
            .map(|&engine| RoleChange { engine, role: to })
            .into_iter()
            .collect()
    }
}

fn count(fleet: &Fleet, live: &[usize]) -> RoleCounts {
    let mut current = RoleCounts::default();
    for &index in live {
        match fleet.get(index).role {
            Role::Prefill => current.prefill += 1,
            Role::Decode => current.decode += 1,
            Role::Mixed => current.mixed += 1,
        }
    }
    current
}

/// All assignments that differ from the current one in one engine's role.
fn neighbours(current: RoleCounts) -> Vec<RoleCounts> {
    let mut all = Vec::with_capacity(6);
    for (from, to) in [
        (Role::Mixed, Role::Prefill),
        (Role::Mixed, Role::Decode),
        (Role::Prefill, Role::Mixed),
        (Role::Prefill, Role::Decode),
        (Role::Decode, Role::Mixed),
        (Role::Decode, Role::Prefill),
    ] {
        let mut next = current;
        if *count_mut(&mut next, from) == 0 {
            continue;
        }
        *count_mut(&mut next, from) -= 1;
        *count_mut(&mut next, to) += 1;
        all.push(next);
    }
    all
}

fn count_mut(assignment: &mut RoleCounts, role: Role) -> &mut usize {
    match role {
        Role::Prefill => &mut assignment.prefill,
        Role::Decode => &mut assignment.decode,
        Role::Mixed => &mut assignment.mixed,
    }
}

/// The role that loses an engine and the one that gains it.
fn changed_roles(current: RoleCounts, target: RoleCounts) -> (Role, Role) {
    let (mut current, mut target) = (current, target);
    let mut from = Role::Mixed;
    let mut to = Role::Mixed;
    for role in [Role::Mixed, Role::Prefill, Role::Decode] {
        let (before, after) = (
            *count_mut(&mut current, role),
            *count_mut(&mut target, role),
        );
        if after < before {
            from = role;
        }
        if after > before {
            to = role;
        }
    }
    (from, to)
}

/// Requests per ms that an assignment would complete, by a fluid model of the engines.
///
/// Prefill engines take only prompts of the last rank, whose answers are short; the other engines
/// share the output evenly. An engine that produces `o` output tokens per ms along with prompt
/// chunks of `k` tokens has iterations of `t = (base + token * k) / (1 - sequence * o)` with
/// `o * t` running sequences, and prefills `k / t` prompt tokens per ms.
fn completion_rate(profile: &EngineProfile, assignment: RoleCounts, forecast: &Forecast) -> f64 {
    let last = RANKS - 1;
    let early_prompt: f64 = (0..last).map(|rank| forecast.prompt_rate_at(rank)).sum();
    let early_count: f64 = (0..last).map(|rank| forecast.request_rate_at(rank)).sum();
    let general = (assignment.mixed + assignment.decode).max(1) as f64;
    let output_each = forecast.output_rate() / general;
    let prompt_each = early_prompt / forecast.output_rate().max(1e-9);
    let mut output = 0.0;
    let mut prompt = 0.0;
    for (role, engines) in [
        (Role::Mixed, assignment.mixed),
        (Role::Decode, assignment.decode),
    ] {
        let (produced, prefilled) = capacity(profile, role, output_each, prompt_each);
        output += produced * engines as f64;
        prompt += prefilled * engines as f64;
    }
    let (_, prefilled) = capacity(profile, Role::Prefill, 0.0, 0.0);
    let prefill_only = prefilled * assignment.prefill as f64;
    let served = |capacity: f64, rate: f64| {
        if rate <= 0.0 {
            1.0
        } else {
            (capacity / rate).clamp(0.0, 1.0)
        }
    };
    let early = served(output, forecast.output_rate()).min(served(prompt, early_prompt));
    let spare = prefill_only + (prompt - early * early_prompt).max(0.0);
    let late = served(spare, forecast.prompt_rate_at(last));
    early * early_count + late * forecast.request_rate_at(last)
}

/// Output and prompt tokens per ms of one engine that is to produce `output` tokens per ms, each
/// of which comes with `prompt` prompt tokens of the same requests.
///
/// Admission holds prompts back that would slow the output down too much, so a chunk counts only
/// as far as the iteration stays short enough.
fn capacity(profile: &EngineProfile, role: Role, output: f64, prompt: f64) -> (f64, f64) {
    let batch = f64::from(profile.max_running);
    let sequence_ms = profile.sequence_ms + profile.token_ms * prompt;
    let produced = output.min(USABLE_BATCH * batch / (profile.base_ms + batch * sequence_ms));
    let spare = 1.0 - profile.sequence_ms * produced;
    let accepted_ms = if role == Role::Prefill {
        f64::INFINITY
    } else {
        MAX_ITERATION_MS
    };
    let longest_ms = accepted_ms.min(USABLE_BATCH * batch / produced.max(1e-9));
    let room = (longest_ms * spare - profile.base_ms) / profile.token_ms;
    let chunk = room.clamp(0.0, f64::from(EngineProfile::chunk_tokens(role)));
    let iteration_ms = profile.iteration_ms(0.0, chunk) / spare;
    (produced, chunk / iteration_ms)
}
