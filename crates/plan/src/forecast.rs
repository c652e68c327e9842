//! Forecast of the coming mix of prompts and output from recent arrivals.

use crate::RANKS;

/// Time constant of the averages: short enough to follow a change of the mix within minutes, long
/// enough to smooth out single long prompts.
const DECAY_MS: f64 = 8_000.0;

/// Tokens per ms.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct TokenRate {
    prompt: f64,
    output: f64,
}

/// Arrival rates of prompt tokens, output tokens and requests, as moving averages.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Forecast {
    rate: TokenRate,
    prompt_by_rank: [f64; RANKS],
    requests_by_rank: [f64; RANKS],
    at_ms: u64,
}

impl Forecast {
    /// Records the arrival of a request.
    pub fn record_arrival(
        &mut self,
        now_ms: u64,
        rank: usize,
        prompt_tokens: f64,
        output_tokens: f64,
    ) {
        self.decay(now_ms);
        self.rate.prompt += prompt_tokens / DECAY_MS;
        self.rate.output += output_tokens / DECAY_MS;
        self.prompt_by_rank[rank] += prompt_tokens / DECAY_MS;
        self.requests_by_rank[rank] += 1.0 / DECAY_MS;
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let factor = (-elapsed_ms / DECAY_MS).exp();
        self.rate.prompt *= factor;
        self.rate.output *= factor;
        for rate in self
            .prompt_by_rank
            .iter_mut()
            .chain(&mut self.requests_by_rank)
        {
            *rate *= factor;
        }
    }

    /// The forecast with the rates that peers report added; their mix of ranks is taken to be
    /// the same as here.
    #[must_use]
    pub fn with_peer_rates(&self, prompt_rate: f64, output_rate: f64) -> Self {
        let mut all = *self;
        if self.rate.prompt > 0.0 {
            let factor = 1.0 + prompt_rate / self.rate.prompt;
            all.prompt_by_rank = self.prompt_by_rank.map(|rate| rate * factor);
            all.requests_by_rank = self.requests_by_rank.map(|rate| rate * factor);
        }
        all.rate.prompt += prompt_rate;
        all.rate.output += output_rate;
        all
    }

    /// The forecast for a fraction of the engines.
    #[must_use]
    pub fn scaled(&self, fraction: f64) -> Self {
        let mut part = *self;
        part.rate.prompt *= fraction;
        part.rate.output *= fraction;
        part.prompt_by_rank = self.prompt_by_rank.map(|rate| rate * fraction);
        part.requests_by_rank = self.requests_by_rank.map(|rate| rate * fraction);
        part
    }

    /// Prompt tokens per ms.
    pub fn prompt_rate(&self) -> f64 {
        self.rate.prompt
    }

    /// Prompt tokens per ms of one rank.
    pub fn prompt_rate_at(&self, rank: usize) -> f64 {
        self.prompt_by_rank[rank]
    }

    /// Requests per ms of one rank.
    pub fn request_rate_at(&self, rank: usize) -> f64 {
        self.requests_by_rank[rank]
    }

    /// Output tokens per ms.
    pub fn output_rate(&self) -> f64 {
        self.rate.output
    }
}
