//! How many engines of a service prefill prompts and how many decode.
//!
//! A fleet may start with a third of its engines as prefill engines while the mix of requests
//! needs more than half. Prompts then queue at some engines while others have free slots, or are
//! prefilled on decode engines and interrupt their output. A role change makes an engine
//! unavailable for seconds, so the split follows lasting changes of the mix and not fluctuations
//! that last seconds. See docs/design/roles.md.

/// Time constant of the average demand, in ms: longer than the fluctuations to be absorbed, short
/// enough to notice within seconds that the initial split is wrong.
const DECAY_MS: f64 = 4_000.0;

/// Time constant with which a peak is forgotten, in ms: several times the interval of a few
/// seconds between bursts.
const PEAK_DECAY_MS: f64 = 30_000.0;

/// Utilization of a prefill engine above which prompts wait too long: at two thirds, with prompts
/// of very different lengths, they wait about as long as their prefill takes.
const PREFILL_UTILIZATION: f64 = 0.66;

/// Fraction of the slots of a decode engine that may be in use: the rest is for clustered
/// requests, for the load of an engine that fails, and because a fuller batch delays each token.
/// A much smaller value moves engines to decode in each lull between two bursts of prompts.
pub(crate) const DECODE_UTILIZATION: f64 = 0.6;

/// Pressure below which no engine changes, however uneven the split is, as no request waits.
const MIN_PRESSURE: f64 = 0.8;

/// Smallest fraction of a service's engines that decode. With fewer, each carries more streams,
/// all of which are cut off if it fails, and a small fleet would be left with a single decode
/// engine when others are withdrawn.
const MIN_DECODE_FRACTION: f64 = 0.35;

/// Number of engines by which the split must be wrong before one changes while the pressure is
/// acceptable: a difference of one gains little then and is within the noise of the estimate.
const MIN_IMBALANCE: usize = 2;

/// Time for which the same change must have been wanted before it is made, in ms: several checks.
const SETTLE_MS: u64 = 1_500;

/// The same after a change in the other direction, in ms: several times the duration of a change,
/// so that fluctuations do not move engines back and forth.
const REVERSAL_MS: u64 = 12_000;

/// Fraction of a service's engines that may be changing at the same time: three of eighteen, whose
/// absence the others can compensate for some seconds.
const MAX_CHANGING_FRACTION: f64 = 0.17;

/// Moving average of a rate over the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MovingRate {
    sum: f64,
    at_ms: u64,
    since_ms: Option<u64>,
}

impl MovingRate {
    /// Adds an amount.
    pub fn add(&mut self, now_ms: u64, amount: f64) {
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        self.sum = self.decayed(now_ms) + amount;
        self.at_ms = now_ms.max(since_ms);
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / DECAY_MS).exp()
    }

    /// Amount per ms; time before the first amount does not count as idle.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let Some(since_ms) = self.since_ms else {
            return 0.0;
        };
        let observed_ms = now_ms.saturating_sub(since_ms).max(1) as f64;
        let window_ms = DECAY_MS * (1.0 - (-observed_ms / DECAY_MS).exp());
        self.decayed(now_ms) / window_ms
    }

    /// Time since the first amount; 0 if there is none.
    pub fn observed_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}

/// Demand on all engines of a service, in engines that would be fully used.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Engines that would prefill without a pause.
    pub prefill: f64,
    /// Engines whose slots would all be in use for decoding.
    pub decode: f64,
}

/// Recent maximum of the demand of each kind.
///
/// Bursts of one kind follow each other within seconds, and a role change takes as long. So the
/// split is made for the bursts of the last half minute and not for the lull between two of them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeakDemand {
    demand: Demand,
    at_ms: u64,
}

impl PeakDemand {
    /// Records the current demand and returns the recent maximum.
    pub fn record(&mut self, now_ms: u64, now: &Demand) -> Demand {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let factor = (-age_ms / PEAK_DECAY_MS).exp();
        self.demand = Demand {
            prefill: now.prefill.max(self.demand.prefill * factor),
            decode: now.decode.max(self.demand.decode * factor),
        };
        self.at_ms = now_ms;
        self.demand
    }
}

/// Number of engines of a service in each role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleSplit {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Engines that are changing their role; they are also counted in their new role.
    pub changing: usize,
}

/// A role change of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitChange {
    /// A decode engine becomes a prefill engine.
    ToPrefill,
    /// A prefill engine becomes a decode engine.
    ToDecode,
}

impl Demand {
    /// Demand on the role with the higher utilization, relative to what that role should bear: at
    /// 1 it is used as much as it should be.
    fn pressure(&self, prefill_engines: usize, decode_engines: usize) -> f64 {
        let prefill = self.prefill / prefill_engines.max(1) as f64 / PREFILL_UTILIZATION;
        let decode = self.decode / decode_engines.max(1) as f64 / DECODE_UTILIZATION;
        prefill.max(decode)
    }
}

/// Most engines of a service that may prefill.
fn max_prefill_engines(engines: usize) -> usize {
    let decode = (engines as f64 * MIN_DECODE_FRACTION).ceil() as usize;
    engines.saturating_sub(decode.max(1))
}

/// Number of prefill engines at which the pressure is lowest.
pub fn wanted_prefill_engines(demand: &Demand, engines: usize) -> usize {
    let pressure = |prefill: &usize| demand.pressure(*prefill, engines - prefill);
    let all = 1..=max_prefill_engines(engines);
    all.min_by(|a, b| pressure(a).total_cmp(&pressure(b)))
        .unwrap_or(1)
}

/// How engines are divided that neither role needs at the demand of the last half minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SplitGoal {
    /// Between both roles, so that the utilization of both is the lowest.
    #[default]
    LeastPressure,
    /// All decode. A decode engine can also prefill, but a prefill engine cannot decode: in a burst of
    /// short prompts the prefill engines would idle while the others reject requests. It suits fleets
    /// whose fast engines prefill, since prompts wait less there at the same utilization.
    SpareDecodes,
}

impl SplitGoal {
    fn wanted_prefill_engines(self, demand: &Demand, engines: usize) -> usize {
        let balanced = wanted_prefill_engines(demand, engines);
        match self {
            Self::LeastPressure => balanced,
            Self::SpareDecodes => {
                let enough = (demand.prefill / PREFILL_UTILIZATION).ceil() as usize;
                enough.clamp(1, balanced)
            }
        }
    }
}

/// Decides on role changes of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SplitPlanner {
    goal: SplitGoal,
    /// The change that is wanted, and since when.
    wanted: Option<(SplitChange, u64)>,
    /// The last change that was ordered, and when.
    last: Option<(SplitChange, u64)>,
}

impl SplitPlanner {
    /// Sets how engines are divided that neither role needs.
    pub fn set_goal(&mut self, goal: SplitGoal) {
        self.goal = goal;
    }

    /// The change to order now, if one has been wanted for long enough and not too many engines
    /// are changing.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        demand: &Demand,
        split: &RoleSplit,
    ) -> Option<SplitChange> {
        let engines = split.prefill + split.decode;
        let change = wanted_change(demand, split, self.goal);
        let since_ms = match (change, self.wanted) {
            (Some(change), Some((previous, since_ms))) if previous == change => since_ms,
            _ => now_ms,
        };
        self.wanted = change.map(|change| (change, since_ms));
        let change = change?;
        let settle_ms = match self.last {
            Some((last, at_ms)) if last != change && now_ms < at_ms + REVERSAL_MS => REVERSAL_MS,
            _ => SETTLE_MS,
        };
        let is_due = now_ms >= since_ms + settle_ms && split.changing < max_changing(engines);
        is_due.then_some(change)
    }

    /// The change that was wanted at the last check, due or not.
    pub fn wanted(&self) -> Option<SplitChange> {
        self.wanted.map(|(change, _)| change)
    }

    /// Records that a change was ordered.
    pub fn record_order(&mut self, now_ms: u64, change: SplitChange) {
        self.last = Some((change, now_ms));
    }
}

/// Number of engines to change now if a change is due: as many as the split is wrong by, within
/// the limit on engines that change at the same time; at least 1.
///
/// A large fleet needs this. If a third of two hundred engines prefill and half should, changing
/// one engine after the other takes a minute, and by then the burst is over.
pub fn max_changes_at_once(
    change: SplitChange,
    demand: &Demand,
    split: &RoleSplit,
    goal: SplitGoal,
) -> usize {
    let engines = split.prefill + split.decode;
    let wanted = goal.wanted_prefill_engines(demand, engines);
    let imbalance = match change {
        SplitChange::ToPrefill => wanted.saturating_sub(split.prefill),
        SplitChange::ToDecode => split.prefill.saturating_sub(wanted),
    };
    imbalance
        .min(max_changing(engines).saturating_sub(split.changing))
        .max(1)
}

/// Most engines of a service that may be changing at the same time.
pub fn max_changing(engines: usize) -> usize {
    ((engines as f64 * MAX_CHANGING_FRACTION) as usize).max(1)
}

/// The change that would improve the split, however long it has been wrong; the last engine of a
/// role is never changed.
fn wanted_change(demand: &Demand, split: &RoleSplit, goal: SplitGoal) -> Option<SplitChange> {
    let engines = split.prefill + split.decode;
    if engines < 3 {
        return None;
    }
    if split.prefill > max_prefill_engines(engines) {
        return Some(SplitChange::ToDecode);
    }
    let pressure = demand.pressure(split.prefill, split.decode);
    if pressure < MIN_PRESSURE {
        return None;
    }
    let min_imbalance = if pressure < 1.0 { MIN_IMBALANCE } else { 1 };
    let wanted = goal.wanted_prefill_engines(demand, engines);
    if wanted >= split.prefill + min_imbalance && split.decode > 1 {
        return Some(SplitChange::ToPrefill);
    }
    if wanted + MIN_IMBALANCE <= split.prefill && split.prefill > 1 {
        return Some(SplitChange::ToDecode);
    }
    None
}
