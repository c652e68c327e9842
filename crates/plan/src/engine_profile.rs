//! Cost model of an engine, on which latency predictions are based.

use conf::Role;
use serde::{Deserialize, Serialize};

/// Number of priority ranks that decisions distinguish; 0 is the most urgent.
pub const RANKS: usize = 3;

/// Index of a class's rank; ranks beyond the last count as the last.
pub fn rank_index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// Times and capacity of an engine with continuous batching.
///
/// One iteration takes `base_ms + sequence_ms * running + token_ms * chunk`: loading the weights,
/// the attention of each running sequence, and the prompt tokens prefilled in the same iteration.
/// This is the usual linear model of a batched iteration; it ignores that attention grows with the
/// context length.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Fixed time of an iteration.
    pub base_ms: f64,
    /// Time that each running sequence adds to an iteration.
    pub sequence_ms: f64,
    /// Time that each prompt token adds to an iteration.
    pub token_ms: f64,
    /// Most sequences in a batch.
    pub max_running: u32,
    /// Capacity of the KV cache, in prompt and output tokens.
    pub kv_tokens: u64,
    /// Time for which the engine is unavailable during a role change.
    pub change_ms: u64,
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            base_ms: 8.0,
            sequence_ms: 0.25,
            token_ms: 0.04,
            max_running: 64,
            kv_tokens: 400_000,
            change_ms: 4_000,
        }
    }
}

impl EngineProfile {
    /// Prompt tokens that one iteration prefills at most in a role.
    ///
    /// A large chunk prefills long prompts faster but lengthens the time between tokens of running
    /// sequences; the role chooses between the two.
    pub fn chunk_tokens(role: Role) -> u32 {
        match role {
            Role::Mixed => 512,
            Role::Prefill => 2048,
            Role::Decode => 128,
        }
    }

    /// Time of an iteration with `running` sequences and this many prompt tokens.
    pub fn iteration_ms(&self, running: f64, prompt_tokens: f64) -> f64 {
        self.base_ms + self.sequence_ms * running + self.token_ms * prompt_tokens
    }

    /// Time to prefill `tokens` prompt tokens while `running` sequences produce output.
    pub fn prefill_ms(&self, role: Role, running: f64, tokens: f64) -> f64 {
        let chunk = f64::from(Self::chunk_tokens(role));
        tokens / chunk * self.iteration_ms(running, chunk)
    }

    /// Least engine time that a request can take: the fixed time of each iteration is split among
    /// full chunks and full batches.
    pub fn min_work_ms(&self, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let chunk = f64::from(Self::chunk_tokens(Role::Prefill));
        let batch = f64::from(self.max_running);
        let prompt = prompt_tokens * (self.token_ms + self.base_ms / chunk);
        prompt + output_tokens * (self.sequence_ms + self.base_ms / batch)
    }
}
