//! How many engines of a service read prompts and how many make output.
//!
//! Load pattern: the fleet comes with a third of its engines reading, and the mix asks for more than
//! half. For the whole day prompts then wait at some engines while places stay free at the others,
//! or are read beside output and make it pause. A change takes an engine away for seconds, so the
//! split follows what stands for long and not the swings of seconds. See docs/design/roles.md.

/// Time over which what is asked is averaged, in ms: longer than the swings that are to be borne,
/// short enough that a split which is wrong from the start is seen within seconds.
const MEMORY_MS: f64 = 4_000.0;

/// Time in which a rush that does not come again is forgotten, in ms: several times the seconds by
/// which rushes follow each other.
const PEAK_MS: f64 = 30_000.0;

/// Share of its time for which an engine may read before prompts wait too long: at two thirds,
/// with prompts of very uneven length, they wait for about as long as they are read.
const READING_SHARE: f64 = 0.66;

/// Share of its places that an engine for output may fill: the rest is for clumps, for the engine
/// beside it that fails, and because a fuller batch makes each token later. A much smaller one
/// sends engines to output in each lull between two rushes of prompts.
const MAKING_SHARE: f64 = 0.6;

/// Pressure, in what a side should bear, below which no engine changes however uneven the split is:
/// nobody waits.
const PRESSED: f64 = 0.8;

/// Least share of a service's engines that make output. Fewer hold more streams each, all of which
/// the end of one engine cuts off, and a small fleet from which engines are withdrawn is left with one.
const LEAST_MAKERS: f64 = 0.35;

/// Engines that the split must be off by before one changes while nobody is pressed beyond what is
/// borne; one more or less gains little then, and the estimate wavers by as much.
const OFF_BY: usize = 2;

/// Time for which the same side must be short before an engine changes, in ms: some looks in a row.
const SETTLE_MS: u64 = 1_500;

/// The same after a change in the other direction, in ms: several times what a change takes, so that
/// swings do not move engines to and fro.
const RETURN_MS: u64 = 12_000;

/// Share of a service's engines that may be away for a change at once: three of eighteen, the loss of
/// which the others bear for some seconds.
const AWAY_SHARE: f64 = 0.17;

/// Average of what is asked in a ms, over the last seconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MovingRate {
    sum: f64,
    at_ms: u64,
    since_ms: Option<u64>,
}

impl MovingRate {
    /// An amount was asked for.
    pub fn add(&mut self, now_ms: u64, amount: f64) {
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        self.sum = self.faded(now_ms) + amount;
        self.at_ms = now_ms.max(since_ms);
    }

    fn faded(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.sum * (-age_ms / MEMORY_MS).exp()
    }

    /// Amount a ms; what was before the first one does not count as idle time.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        let Some(since_ms) = self.since_ms else {
            return 0.0;
        };
        let seen_ms = now_ms.saturating_sub(since_ms).max(1) as f64;
        let window_ms = MEMORY_MS * (1.0 - (-seen_ms / MEMORY_MS).exp());
        self.faded(now_ms) / window_ms
    }

    /// Time since the first amount.
    pub fn observed_ms(&self, now_ms: u64) -> u64 {
        self.since_ms
            .map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
    }
}

/// What is asked of all engines of a service, each counted as if it did nothing else.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Engines that would read without a pause.
    pub prefill: f64,
    /// Engines whose places would all be taken.
    pub decode: f64,
}

/// The most that was asked lately, of each kind.
///
/// Rushes of one kind come again within seconds, and a change takes as long. So the split is made for
/// the rushes of the last half minute and not for the lull between two of them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PeakDemand {
    demand: Demand,
    at_ms: u64,
}

impl PeakDemand {
    /// Takes in what is asked now; gives the most of late.
    pub fn record(&mut self, now_ms: u64, now: &Demand) -> Demand {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let left = (-age_ms / PEAK_MS).exp();
        self.demand = Demand {
            prefill: now.prefill.max(self.demand.prefill * left),
            decode: now.decode.max(self.demand.decode * left),
        };
        self.at_ms = now_ms;
        self.demand
    }
}

/// The engines of a service by what they do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RoleSplit {
    /// Those that read.
    pub prefill: usize,
    /// Those that make output.
    pub decode: usize,
    /// Those that are away for a change; they count where they go to.
    pub changing: usize,
}

/// One engine's change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SplitChange {
    /// One that makes output is to read.
    ToPrefill,
    /// One that reads is to make output.
    ToDecode,
}

impl Demand {
    /// How hard the side is pressed that is pressed most; 1 is as much as it should bear.
    fn pressure(&self, readers: usize, makers: usize) -> f64 {
        let reading = self.prefill / readers.max(1) as f64 / READING_SHARE;
        let making = self.decode / makers.max(1) as f64 / MAKING_SHARE;
        reading.max(making)
    }
}

/// Most engines of a service that may read.
fn most_readers(engines: usize) -> usize {
    let makers = (engines as f64 * LEAST_MAKERS).ceil() as usize;
    engines.saturating_sub(makers.max(1))
}

/// Engines that should read: the split at which the side that is pressed most is pressed least.
pub fn wanted_prefill_engines(demand: &Demand, engines: usize) -> usize {
    let pressure = |readers: &usize| demand.pressure(*readers, engines - readers);
    let all = 1..=most_readers(engines);
    all.min_by(|a, b| pressure(a).total_cmp(&pressure(b)))
        .unwrap_or(1)
}

/// Decides on changes of one service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct SplitPlanner {
    wish: Option<(SplitChange, u64)>,
    last: Option<(SplitChange, u64)>,
}

impl SplitPlanner {
    /// The change that is worth its price now.
    pub fn next_change(
        &mut self,
        now_ms: u64,
        demand: &Demand,
        split: &RoleSplit,
    ) -> Option<SplitChange> {
        let engines = split.prefill + split.decode;
        let turn = wished(demand, split);
        let since_ms = match (turn, self.wish) {
            (Some(turn), Some((same, since_ms))) if same == turn => since_ms,
            _ => now_ms,
        };
        self.wish = turn.map(|turn| (turn, since_ms));
        let turn = turn?;
        let settle_ms = match self.last {
            Some((last, at_ms)) if last != turn && now_ms < at_ms + RETURN_MS => RETURN_MS,
            _ => SETTLE_MS,
        };
        let may = now_ms >= since_ms + settle_ms && split.changing < most_away(engines);
        may.then_some(turn)
    }

    /// A change was ordered.
    pub fn record_order(&mut self, now_ms: u64, turn: SplitChange) {
        self.last = Some((turn, now_ms));
    }
}

/// Engines that may change at once, where one is worth its price: as many as the split is off by and as may
/// be away.
///
/// Load pattern: a third of two hundred engines read and half should. One change after the other takes
/// a minute, and the rush is over.
pub fn max_changes_at_once(turn: SplitChange, demand: &Demand, split: &RoleSplit) -> usize {
    let engines = split.prefill + split.decode;
    let wanted = wanted_prefill_engines(demand, engines);
    let off_by = match turn {
        SplitChange::ToPrefill => wanted.saturating_sub(split.prefill),
        SplitChange::ToDecode => split.prefill.saturating_sub(wanted),
    };
    off_by
        .min(most_away(engines).saturating_sub(split.changing))
        .max(1)
}

/// Engines of a service that may be away for a change at once.
fn most_away(engines: usize) -> usize {
    ((engines as f64 * AWAY_SHARE) as usize).max(1)
}

/// The change that would better the split, however long it has been wrong; the last engine of a
/// kind stays what it is.
fn wished(demand: &Demand, split: &RoleSplit) -> Option<SplitChange> {
    let engines = split.prefill + split.decode;
    if engines < 3 {
        return None;
    }
    if split.prefill > most_readers(engines) {
        return Some(SplitChange::ToDecode);
    }
    let pressure = demand.pressure(split.prefill, split.decode);
    if pressure < PRESSED {
        return None;
    }
    let off_by = if pressure < 1.0 { OFF_BY } else { 1 };
    let wanted = wanted_prefill_engines(demand, engines);
    if wanted >= split.prefill + off_by && split.decode > 1 {
        return Some(SplitChange::ToPrefill);
    }
    if wanted + OFF_BY <= split.prefill && split.prefill > 1 {
        return Some(SplitChange::ToDecode);
    }
    None
}
