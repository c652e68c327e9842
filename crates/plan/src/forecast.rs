//! What mix of work is coming.

use crate::RANKS;

/// Time constant of the fast average, which follows a swing.
const FAST_MS: f64 = 8_000.0;

/// Time constant of the slow average, which tells a swing from a blip.
const SLOW_MS: f64 = 60_000.0;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Rate {
    prompt: f64,
    output: f64,
}

/// Rates of prompt and output tokens, by rank, as moving averages.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    fast: Rate,
    slow: Rate,
    prompt_by_rank: [f64; RANKS],
    at_ms: u64,
}

impl Forecast {
    /// Work arrived.
    pub fn arrived(&mut self, now_ms: u64, rank: usize, prompt_tokens: f64, output_tokens: f64) {
        self.decay(now_ms);
        self.fast.prompt += prompt_tokens / FAST_MS;
        self.fast.output += output_tokens / FAST_MS;
        self.slow.prompt += prompt_tokens / SLOW_MS;
        self.slow.output += output_tokens / SLOW_MS;
        self.prompt_by_rank[rank] += prompt_tokens / FAST_MS;
    }

    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let fast = (-passed_ms / FAST_MS).exp();
        let slow = (-passed_ms / SLOW_MS).exp();
        self.fast.prompt *= fast;
        self.fast.output *= fast;
        self.slow.prompt *= slow;
        self.slow.output *= slow;
        for rate in &mut self.prompt_by_rank {
            *rate *= fast;
        }
    }

    /// The same mix with the rates that other instances tell added.
    #[must_use]
    pub fn with_others(&self, prompt_rate: f64, output_rate: f64) -> Self {
        let mut all = *self;
        all.fast.prompt += prompt_rate;
        all.fast.output += output_rate;
        all
    }

    /// The part of the mix that a share of the engines takes.
    #[must_use]
    pub fn scaled(&self, share: f64) -> Self {
        let mut part = *self;
        part.fast.prompt *= share;
        part.fast.output *= share;
        part
    }

    /// Prompt tokens a ms, now.
    pub fn prompt_rate(&self) -> f64 {
        self.fast.prompt
    }

    /// Prompt tokens a ms at one rank, now.
    pub fn prompt_rate_of(&self, rank: usize) -> f64 {
        self.prompt_by_rank[rank]
    }

    /// Output tokens a ms, now.
    pub fn output_rate(&self) -> f64 {
        self.fast.output
    }

    /// Share of tokens that are prompt, now and over the longer run.
    pub fn prompt_shares(&self) -> (f64, f64) {
        let share = |rate: &Rate| rate.prompt / (rate.prompt + rate.output).max(1e-9);
        (share(&self.fast), share(&self.slow))
    }
}
