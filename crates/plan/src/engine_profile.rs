//! What an engine can do: the cost model that predictions rest on.

use conf::Role;
use serde::{Deserialize, Serialize};

/// Levels of urgency that decisions tell apart; a class's rank is cut off at the last.
pub const RANKS: usize = 3;

/// Place of a class's rank among the levels.
pub fn rank_index(rank: u32) -> usize {
    (rank as usize).min(RANKS - 1)
}

/// Times of a continuously batching engine.
///
/// One iteration costs `base_ms + sequence_ms * running + token_ms * chunk`: reading the weights,
/// each running sequence's attention, and the prompt tokens taken along. It is the usual linear
/// model of a batched step and leaves out the growth of attention with context length.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EngineProfile {
    /// Fixed time of an iteration.
    pub base_ms: f64,
    /// Time that each running sequence adds to an iteration.
    pub sequence_ms: f64,
    /// Time that each prompt token adds to an iteration.
    pub token_ms: f64,
    /// Most sequences that run at once.
    pub max_running: u32,
    /// Prompt and output tokens whose KV cache fits.
    pub kv_tokens: u64,
    /// Time for which a role change takes the engine away.
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
    /// Prompt tokens that one iteration takes along in a role.
    ///
    /// A large chunk reads long prompts faster and makes running sequences wait longer between
    /// tokens; the role is the choice between the two.
    pub fn chunk_tokens(role: Role) -> u32 {
        match role {
            Role::Mixed => 512,
            Role::Prefill => 2048,
            Role::Decode => 128,
        }
    }

    /// Length of an iteration.
    pub fn iteration_ms(&self, running: f64, prompt_tokens: f64) -> f64 {
        self.base_ms + self.sequence_ms * running + self.token_ms * prompt_tokens
    }

    /// Time to read `tokens` of prompts with `running` sequences beside them.
    pub fn prefill_ms(&self, role: Role, running: f64, tokens: f64) -> f64 {
        let chunk = f64::from(Self::chunk_tokens(role));
        tokens / chunk * self.iteration_ms(running, chunk)
    }

    /// Least engine time that a request can take, with the fixed part shared by full batches.
    pub fn min_work_ms(&self, prompt_tokens: f64, output_tokens: f64) -> f64 {
        let chunk = f64::from(Self::chunk_tokens(Role::Prefill));
        let batch = f64::from(self.max_running);
        let prompt = prompt_tokens * (self.token_ms + self.base_ms / chunk);
        prompt + output_tokens * (self.sequence_ms + self.base_ms / batch)
    }
}
