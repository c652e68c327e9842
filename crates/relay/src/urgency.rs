//! Whether a generation can still be on time, and the rank that engines are told.
//!
//! Load pattern: in a rush the largest prompts of a route are late or refused first, since they take
//! the longest to read and have least to spare, and their callers are the worst served of all.
//! Among those that can be on time they go first; the others, which need a fraction of their
//! time, mostly still fit behind them.

/// First rank of what will be late. Engines know ten ranks; the six before it hold two for each of
/// three priorities, so that no prompt goes behind one of a less urgent route.
const FIRST_LATE_RANK: u8 = 6;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// Prompts shorter than this are not ordered by length, in tokens: they are read in less time than
/// their order could save.
const MIN_ORDERED_TOKENS: f64 = 2_000.0;

/// Length from which a prompt goes first, in usual lengths of its route: about the largest fifth
/// of those that were seen.
const LONG_PROMPT_RATIO: f64 = 1.5;

/// Weight of one prompt in the usual length of its route.
const SMOOTHING: f64 = 0.02;

/// Whether a generation can still start within its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Urgency {
    /// It can.
    #[default]
    OnTime,
    /// It will be late, and is served with what the others leave.
    Late,
}

impl Urgency {
    /// Rank at an engine of a request of this priority, 0 first; one that yields lets longer prompts
    /// of its route go before it.
    pub fn rank(self, priority: u8, yields: bool) -> u8 {
        match self {
            Self::OnTime => {
                let rank = priority.saturating_mul(2).saturating_add(yields.into());
                rank.min(FIRST_LATE_RANK - 1)
            }
            Self::Late => priority.saturating_add(FIRST_LATE_RANK).min(LAST_RANK),
        }
    }
}

/// Usual length of a route's prompts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TypicalLength {
    tokens: Option<f64>,
}

impl TypicalLength {
    /// Takes one prompt in; gives whether it lets longer ones of its route go first.
    pub fn yields_to_longer(&mut self, tokens: f64) -> bool {
        let usual = self.tokens.unwrap_or(tokens);
        self.tokens = Some(usual + SMOOTHING * (tokens - usual));
        tokens >= MIN_ORDERED_TOKENS && tokens < LONG_PROMPT_RATIO * usual
    }
}
