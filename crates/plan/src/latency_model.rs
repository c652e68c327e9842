//! How fast the engines of one service read prompts, learned from their answers.
//!
//! Load pattern: engines of another make come, and for the first seconds nothing is known of them.
//! What is learned decides who is refused, so it must be the engines' own time and not the waits
//! of a rush: an answer teaches the less the more stood before it.

/// Weight that one answer has in the learned times, once some have been seen.
const SMOOTHING: f64 = 0.1;

/// Time of a prompt token before any answer, in ms; corrected by the first answers.
const FIRST_GUESS_MS: f64 = 0.015;

/// Bounds of the learned time of a prompt token, in ms: engines read 5 to 500 tokens a ms.
const TOKEN_MS: (f64, f64) = (0.002, 0.2);

/// Work for which fixed time and reading weigh alike in learning, in tokens: a usual prompt's own
/// part.
const USUAL_TOKENS: f64 = 5_000.0;

/// Most that one answer counts as off, in ms: waits that nobody could foresee must not be taken
/// for the engine's pace.
const MOST_OFF_MS: f64 = 30.0;

/// Time from an idle engine's last prompt token to its answer before any was seen, in ms: a step,
/// a round trip and the set-up of a transfer.
const FIRST_BASE_MS: f64 = 40.0;

/// Time to hand a prompt's KV cache from one engine to another before any was, in ms, as seen with
/// 17,000 tokens on links of hundreds of Gbit/s.
const FIRST_HAND_OVER_MS: f64 = 40.0;

/// One answer as it teaches the pace.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillSample {
    /// Work of its prompt, in tokens.
    pub own_tokens: f64,
    /// Work that stood before it, in tokens.
    pub queued_tokens: f64,
    /// Time that it took.
    pub elapsed_ms: f64,
}

/// What was learned of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyModel {
    token_ms: f64,
    base_ms: f64,
    beside_ms: f64,
    hand_over_ms: f64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            token_ms: FIRST_GUESS_MS,
            base_ms: FIRST_BASE_MS,
            beside_ms: FIRST_BASE_MS,
            hand_over_ms: FIRST_HAND_OVER_MS,
        }
    }
}

impl LatencyModel {
    /// A prompt was read at an engine that does nothing else.
    ///
    /// The error is shared out between the fixed time and the time of a token by how much each
    /// has to do with this answer (normalised least mean squares).
    pub fn record_prefill(&mut self, seen: &PrefillSample) {
        let queued = self.pending_tokens(seen.queued_tokens);
        let tokens = seen.own_tokens + queued;
        let off_ms = seen.elapsed_ms - self.base_ms - tokens * self.token_ms;
        let length = tokens / USUAL_TOKENS;
        let clear = clearness(seen.own_tokens, queued);
        let step_ms = clear * bounded_step(off_ms) / (1.0 + length * length);
        self.base_ms = (self.base_ms + step_ms).max(0.0);
        let token_ms = self.token_ms + step_ms * length / USUAL_TOKENS;
        self.token_ms = token_ms.clamp(TOKEN_MS.0, TOKEN_MS.1);
    }

    /// An engine that makes output read a prompt beside it, and was off the prediction by `off_ms`
    /// after a predicted wait of `wait_ms` and an own time of `own_ms`.
    pub fn record_decode_prefill(&mut self, off_ms: f64, wait_ms: f64, own_ms: f64) {
        let step_ms = clearness(own_ms, wait_ms) * bounded_step(off_ms);
        self.beside_ms = (self.beside_ms + step_ms).max(0.0);
    }

    /// A prompt's KV cache was handed over, and was off the prediction by `off_ms`.
    pub fn record_kv_transfer(&mut self, off_ms: f64) {
        self.hand_over_ms = (self.hand_over_ms + bounded_step(off_ms)).max(0.0);
    }

    /// Time of one token of work, in ms.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Fixed time of an answer of an engine that only reads, in ms.
    pub fn prefill_base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Fixed time of an answer of an engine that reads beside output, in ms.
    pub fn decode_base_ms(&self) -> f64 {
        self.beside_ms
    }

    /// Time from a prompt that was read elsewhere to the output's start, in ms.
    pub fn kv_transfer_ms(&self) -> f64 {
        self.hand_over_ms
    }

    /// Work at an engine that only reads which is really still to be read, in tokens.
    ///
    /// A prompt counts as unread until its answer begins, which is the fixed time after it was
    /// read. So as much as an engine reads in that time is read already, and is not waited for.
    pub fn pending_tokens(&self, queued_tokens: f64) -> f64 {
        (queued_tokens - self.base_ms / self.token_ms).max(0.0)
    }
}

/// Part of an answer's time that was its own.
fn clearness(own: f64, before: f64) -> f64 {
    own.max(1.0) / (own.max(1.0) + before)
}

fn bounded_step(off_ms: f64) -> f64 {
    SMOOTHING * off_ms.clamp(-MOST_OFF_MS, MOST_OFF_MS)
}
