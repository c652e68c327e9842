//! Prefill and KV transfer times of the engines of one service, learned from their answers.
//!
//! Nothing is known of a new kind of engine in the first seconds. The learned times decide which
//! requests are refused, so they must be the engines' own times without the queueing of bursts:
//! the more work was queued before a prompt, the less its answer changes the model.

/// Weight of one answer in the learned times.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Prefill time per token before the first answer, in ms.
const INITIAL_TOKEN_MS: f64 = 0.015;

/// Bounds of the learned prefill time per token, in ms: engines prefill 5 to 500 tokens per ms.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.002, 0.2);

/// Work for which an error is split evenly between the fixed time and the time per token, in
/// tokens: the uncached part of a typical prompt.
const REFERENCE_TOKENS: f64 = 5_000.0;

/// Largest error that one answer counts for, in ms: waits that could not be predicted must not
/// be taken for the engine's own time.
const MAX_ERROR_MS: f64 = 30.0;

/// Time from the last prompt token to the answer of an idle engine before the first answer, in ms:
/// an iteration, a round trip and the set-up of a transfer.
const INITIAL_BASE_MS: f64 = 40.0;

/// Time to transfer a prompt's KV cache between engines before the first transfer, in ms: that of
/// 17,000 tokens on links of hundreds of Gbit/s.
const INITIAL_KV_TRANSFER_MS: f64 = 40.0;

/// The answer of a prefill engine, from which the model learns.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillSample {
    /// Work of its prompt, in tokens.
    pub own_tokens: f64,
    /// Work that was queued before it, in tokens.
    pub queued_tokens: f64,
    /// Time from sending the request to the answer.
    pub elapsed_ms: f64,
}

/// Learned times of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyModel {
    token_ms: f64,
    prefill_base_ms: f64,
    decode_base_ms: f64,
    kv_transfer_ms: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            token_ms: INITIAL_TOKEN_MS,
            prefill_base_ms: INITIAL_BASE_MS,
            decode_base_ms: INITIAL_BASE_MS,
            kv_transfer_ms: INITIAL_KV_TRANSFER_MS,
        }
    }
}

impl LatencyModel {
    /// Learns from a prefill on a prefill engine.
    ///
    /// The error is split between the fixed time and the time per token in proportion to the
    /// influence of each on this answer (normalised least mean squares).
    pub fn record_prefill(&mut self, sample: &PrefillSample) {
        let queued = self.pending_tokens(sample.queued_tokens);
        let tokens = sample.own_tokens + queued;
        let error_ms = sample.elapsed_ms - self.prefill_base_ms - tokens * self.token_ms;
        let length = tokens / REFERENCE_TOKENS;
        let weight = own_fraction(sample.own_tokens, queued);
        let step_ms = weight * bounded_step(error_ms) / (1.0 + length * length);
        self.prefill_base_ms = (self.prefill_base_ms + step_ms).max(0.0);
        let token_ms = self.token_ms + step_ms * length / REFERENCE_TOKENS;
        self.token_ms = token_ms.clamp(TOKEN_MS_BOUNDS.0, TOKEN_MS_BOUNDS.1);
    }

    /// Learns from a prefill on a decode engine, for which a wait of `wait_ms` and `own_ms` for
    /// the request itself were predicted, and which took `error_ms` longer.
    pub fn record_decode_prefill(&mut self, error_ms: f64, wait_ms: f64, own_ms: f64) {
        let step_ms = own_fraction(own_ms, wait_ms) * bounded_step(error_ms);
        self.decode_base_ms = (self.decode_base_ms + step_ms).max(0.0);
    }

    /// Learns from the transfer of a prompt's KV cache to a decode engine, after which the output
    /// started `error_ms` later than predicted.
    pub fn record_kv_transfer(&mut self, error_ms: f64) {
        self.kv_transfer_ms = (self.kv_transfer_ms + bounded_step(error_ms)).max(0.0);
    }

    /// Prefill time per token of work, in ms.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Fixed time of an answer of a prefill engine, in ms.
    pub fn prefill_base_ms(&self) -> f64 {
        self.prefill_base_ms
    }

    /// Fixed time of an answer of a decode engine that prefills the prompt itself, in ms.
    pub fn decode_base_ms(&self) -> f64 {
        self.decode_base_ms
    }

    /// Time from a prefill on another engine to the start of the output, in ms.
    pub fn kv_transfer_ms(&self) -> f64 {
        self.kv_transfer_ms
    }

    /// Work queued at a prefill engine that it has really still to do, in tokens.
    ///
    /// A prompt counts as queued until its answer begins, which is the fixed time after its
    /// prefill has ended. So the work that an engine does in that time is already done and does
    /// not delay a new prompt.
    pub fn pending_tokens(&self, queued_tokens: f64) -> f64 {
        (queued_tokens - self.prefill_base_ms / self.token_ms).max(0.0)
    }
}

/// Fraction of an answer's time or work that was its own rather than that queued before it.
fn own_fraction(own: f64, queued: f64) -> f64 {
    own.max(1.0) / (own.max(1.0) + queued)
}

fn bounded_step(error_ms: f64) -> f64 {
    SMOOTHING_FACTOR * error_ms.clamp(-MAX_ERROR_MS, MAX_ERROR_MS)
}
