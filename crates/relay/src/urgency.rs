//! Urgency of a generation, and the rank that it gets in engines' queues.
//!
//! Under overload, the longest prompts of a route would be late or refused first, since their prefill
//! takes longest and leaves the least slack. Among requests that can be on time they are therefore
//! ranked first; the others need a fraction of their time and mostly still fit behind them.

/// First rank of requests that will be late. Engines have ten ranks. The six before this one are two
/// for each of three priorities, so that no prompt queues behind one of a less urgent route.
const FIRST_LATE_RANK: u8 = 6;

/// Last rank that engines have.
const LAST_RANK: u8 = 9;

/// Shortest prompt that yields to longer ones, in tokens. Shorter ones are prefilled in less time than
/// reordering could save.
const MIN_ORDERED_TOKENS: f64 = 2_000.0;

/// Multiple of the route's typical length from which a prompt is ranked first; about the longest fifth
/// of prompts.
const LONG_PROMPT_RATIO: f64 = 1.5;

/// Weight of the latest prompt in the moving average of a route's prompt lengths.
const SMOOTHING: f64 = 0.02;

/// Whether a generation can meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Urgency {
    /// It can still start within its objective.
    #[default]
    OnTime,
    /// It will be late, and uses the capacity that requests on time leave.
    Late,
}

impl Urgency {
    /// Rank in an engine's queue for a request of this priority, 0 first. One that `yields` is ranked
    /// behind longer prompts of its route.
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

/// Moving average of the length of a route's prompts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct TypicalLength {
    tokens: Option<f64>,
}

impl TypicalLength {
    /// Adds a prompt to the average; returns whether it yields to longer ones of its route.
    pub fn yields_to_longer(&mut self, tokens: f64) -> bool {
        let typical = self.tokens.unwrap_or(tokens);
        self.tokens = Some(typical + SMOOTHING * (tokens - typical));
        tokens >= MIN_ORDERED_TOKENS && tokens < LONG_PROMPT_RATIO * typical
    }
}
