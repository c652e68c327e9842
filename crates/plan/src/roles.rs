//! Which engine plays which role, and when a change is worth its price.

use conf::Role;

use crate::{EngineProfile, Fleet, Forecast, Presence, RANKS};

/// Longest pause between two tokens that callers of short answers bear.
const LONGEST_PAUSE_MS: f64 = 48.0;

/// Time in which an engine ends what it holds before a change.
const ENDING_MS: f64 = 5_000.0;

/// Part of an engine's batch that can be counted on: requests come in clumps and are not spread
/// evenly.
const EVEN_SHARE: f64 = 0.85;

/// Change weight 1 asks for this many times the price.
const PRICE_FACTOR: f64 = 20.0;

/// Tastes and bounds of role changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleSettings {
    /// 0 changes for any gain in goodput, 1 almost never; from the bundle.
    pub change_weight: f64,
    /// Least time that an engine keeps a role.
    pub min_role_ms: u64,
    /// Engines in change at once, as a share of those that serve the model.
    pub max_changing_share: f64,
    /// Time for which a mix is expected to last.
    pub horizon_ms: f64,
    /// Time for which a change must have looked worth it.
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

/// How many engines play each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleCounts {
    /// Engines set up for long prompts.
    pub prefill: usize,
    /// Engines set up for output.
    pub decode: usize,
    /// Engines set up for both.
    pub mixed: usize,
}

/// One engine's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleChange {
    /// Place of the engine in the fleet.
    pub engine: usize,
    /// Role it is to play.
    pub role: Role,
}

/// Plans the roles of one group of engines.
#[derive(Debug, Clone)]
pub struct RolePlanner {
    settings: RoleSettings,
    since_ms: std::collections::HashMap<usize, u64>,
    wanted_since_ms: Option<(RoleCounts, u64)>,
}

impl RolePlanner {
    /// A planner that has changed nothing yet.
    pub fn new(settings: RoleSettings) -> Self {
        Self {
            settings,
            since_ms: std::collections::HashMap::new(),
            wanted_since_ms: None,
        }
    }

    /// Changes that are worth their price now.
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
            .filter(|&place| fleet.get(place).presence == Presence::Live)
            .collect();
        let changing = engines
            .iter()
            .filter(|&&place| fleet.get(place).presence == Presence::Changing)
            .count();
        let at_once = ((engines.len() as f64 * self.settings.max_changing_share) as usize).max(1);
        if live.len() < 2 || changing >= at_once {
            return Vec::new();
        }
        let shape = fleet.get(live[0]).profile;
        let current = count(fleet, &live);
        let Some(target) = self.target(&shape, current, forecast) else {
            self.wanted_since_ms = None;
            return Vec::new();
        };
        let since_ms = match self.wanted_since_ms {
            Some((wanted, since_ms)) if wanted == target => since_ms,
            _ => now_ms,
        };
        self.wanted_since_ms = Some((target, since_ms));
        if now_ms < since_ms + self.settings.settle_ms {
            return Vec::new();
        }
        let mut changes = self.moves(now_ms, fleet, &live, current, target, allows);
        changes.truncate(at_once - changing);
        for change in &changes {
            self.since_ms.insert(change.engine, now_ms);
        }
        changes
    }

    /// The neighbouring assignment whose gain over the horizon is worth the engine time it costs.
    fn target(
        &self,
        shape: &EngineProfile,
        current: RoleCounts,
        forecast: &Forecast,
    ) -> Option<RoleCounts> {
        let now = completed(shape, current, forecast);
        let best = neighbours(current)
            .into_iter()
            .map(|next| (next, completed(shape, next, forecast)))
            .max_by(|a, b| a.1.total_cmp(&b.1))?;
        let engines = (current.prefill + current.decode + current.mixed) as f64;
        // A change takes one engine away while it ends what it holds and while it changes; its
        // part of the work is not done meanwhile.
        let price = (shape.change_ms as f64 + ENDING_MS) / engines * now.max(1e-9);
        let gain = (best.1 - now) * self.settings.horizon_ms;
        let factor = 1.0 + PRICE_FACTOR * self.settings.change_weight;
        (gain > price * factor).then_some(best.0)
    }

    fn moves(
        &self,
        now_ms: u64,
        fleet: &Fleet,
        live: &[usize],
        current: RoleCounts,
        target: RoleCounts,
        allows: impl Fn(usize, Role) -> bool,
    ) -> Vec<RoleChange> {
        let (from, to) = step(current, target);
        let stayed = |place: &usize| {
            let since_ms = self.since_ms.get(place);
            since_ms.is_none_or(|since_ms| now_ms >= since_ms + self.settings.min_role_ms)
        };
        let mut candidates: Vec<usize> = live
            .iter()
            .copied()
            .filter(|&place| fleet.get(place).role == from && allows(place, to))
            .filter(stayed)
            .collect();
        // The engine with the least on it loses the least.
        candidates.sort_by(|&a, &b| {
            let load = |place: usize| fleet.get(place).load(now_ms).output;
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
    for &place in live {
        match fleet.get(place).role {
            Role::Prefill => current.prefill += 1,
            Role::Decode => current.decode += 1,
            Role::Mixed => current.mixed += 1,
        }
    }
    current
}

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
        if *slot(&mut next, from) == 0 {
            continue;
        }
        *slot(&mut next, from) -= 1;
        *slot(&mut next, to) += 1;
        all.push(next);
    }
    all
}

fn slot(assignment: &mut RoleCounts, role: Role) -> &mut usize {
    match role {
        Role::Prefill => &mut assignment.prefill,
        Role::Decode => &mut assignment.decode,
        Role::Mixed => &mut assignment.mixed,
    }
}

fn step(current: RoleCounts, target: RoleCounts) -> (Role, Role) {
    let (mut current, mut target) = (current, target);
    let mut from = Role::Mixed;
    let mut to = Role::Mixed;
    for role in [Role::Mixed, Role::Prefill, Role::Decode] {
        let (had, has) = (*slot(&mut current, role), *slot(&mut target, role));
        if has < had {
            from = role;
        }
        if has > had {
            to = role;
        }
    }
    (from, to)
}

/// Requests a ms that an assignment would complete, by a fluid model of the engines.
///
/// Prefill engines take only the last rank, whose answers are short; the others share the output
/// evenly. An engine that produces `o` tokens a ms beside prompts in chunks of `k` iterates in
/// `t = (base + token * k) / (1 - sequence * o)` with `o * t` sequences running, and reads
/// `k / t` prompt tokens a ms.
fn completed(shape: &EngineProfile, assignment: RoleCounts, forecast: &Forecast) -> f64 {
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
        let (taken, read) = capacity(shape, role, output_each, prompt_each);
        output += taken * engines as f64;
        prompt += read * engines as f64;
    }
    let (_, read) = capacity(shape, Role::Prefill, 0.0, 0.0);
    let apart = read * assignment.prefill as f64;
    let part = |capacity: f64, rate: f64| {
        if rate <= 0.0 {
            1.0
        } else {
            (capacity / rate).clamp(0.0, 1.0)
        }
    };
    let early = part(output, forecast.output_rate()).min(part(prompt, early_prompt));
    let left = apart + (prompt - early * early_prompt).max(0.0);
    let late = part(left, forecast.prompt_rate_at(last));
    early * early_count + late * forecast.request_rate_at(last)
}

/// Output and prompt tokens a ms of one engine that is asked for `output` tokens a ms, each of
/// which comes with `prompt` tokens of its own kind.
///
/// Admission leaves prompts out where they would slow the output down too much, so only as much
/// of a chunk is counted as keeps the iteration short enough.
fn capacity(shape: &EngineProfile, role: Role, output: f64, prompt: f64) -> (f64, f64) {
    let most = f64::from(shape.max_running);
    let each_ms = shape.sequence_ms + shape.token_ms * prompt;
    let taken = output.min(EVEN_SHARE * most / (shape.base_ms + most * each_ms));
    let spare = 1.0 - shape.sequence_ms * taken;
    let paced_ms = if role == Role::Prefill {
        f64::INFINITY
    } else {
        LONGEST_PAUSE_MS
    };
    let longest_ms = paced_ms.min(EVEN_SHARE * most / taken.max(1e-9));
    let room = (longest_ms * spare - shape.base_ms) / shape.token_ms;
    let chunk = room.clamp(0.0, f64::from(EngineProfile::chunk_tokens(role)));
    let iteration_ms = shape.iteration_ms(0.0, chunk) / spare;
    (taken, chunk / iteration_ms)
}
