//! What mix of work is coming.

use crate::RANKS;

/// Time constant of the averages: short enough to follow a swing within minutes, long enough to
/// smooth single long prompts.
const MEMORY_MS: f64 = 8_000.0;

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Rate {
    prompt: f64,
    output: f64,
}

/// Rates of prompt and output tokens, by rank, as moving averages.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    rate: Rate,
    prompt_by_rank: [f64; RANKS],
    count_by_rank: [f64; RANKS],
    at_ms: u64,
}

impl Forecast {
    /// Work arrived.
    pub fn record_arrival(
        &mut self,
        now_ms: u64,
        rank: usize,
        prompt_tokens: f64,
        output_tokens: f64,
    ) {
        self.decay(now_ms);
        self.rate.prompt += prompt_tokens / MEMORY_MS;
        self.rate.output += output_tokens / MEMORY_MS;
        self.prompt_by_rank[rank] += prompt_tokens / MEMORY_MS;
        self.count_by_rank[rank] += 1.0 / MEMORY_MS;
    }

    fn decay(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let keep = (-passed_ms / MEMORY_MS).exp();
        self.rate.prompt *= keep;
        self.rate.output *= keep;
        for rate in self
            .prompt_by_rank
            .iter_mut()
            .chain(&mut self.count_by_rank)
        {
            *rate *= keep;
        }
    }

    /// The same mix with the rates that other instances tell added.
    #[must_use]
    pub fn with_peer_rates(&self, prompt_rate: f64, output_rate: f64) -> Self {
        let mut all = *self;
        if self.rate.prompt > 0.0 {
            let factor = 1.0 + prompt_rate / self.rate.prompt;
            all.prompt_by_rank = self.prompt_by_rank.map(|rate| rate * factor);
            all.count_by_rank = self.count_by_rank.map(|rate| rate * factor);
        }
        all.rate.prompt += prompt_rate;
        all.rate.output += output_rate;
        all
    }

    /// The part of the mix that a share of the engines takes.
    #[must_use]
    pub fn scaled(&self, share: f64) -> Self {
        let mut part = *self;
        part.rate.prompt *= share;
        part.rate.output *= share;
        part.prompt_by_rank = self.prompt_by_rank.map(|rate| rate * share);
        part.count_by_rank = self.count_by_rank.map(|rate| rate * share);
        part
    }

    /// Prompt tokens a ms, now.
    pub fn prompt_rate(&self) -> f64 {
        self.rate.prompt
    }

    /// Prompt tokens a ms at one rank, now.
    pub fn prompt_rate_at(&self, rank: usize) -> f64 {
        self.prompt_by_rank[rank]
    }

    /// Requests a ms at one rank, now.
    pub fn request_rate_at(&self, rank: usize) -> f64 {
        self.count_by_rank[rank]
    }

    /// Output tokens a ms, now.
    pub fn output_rate(&self) -> f64 {
        self.rate.output
    }
}
