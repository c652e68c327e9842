//! Prefill and KV transfer times of the engines of one service, learned from their answers.
//!
//! Nothing is known of a new kind of engine in the first seconds. The learned times decide which
//! requests are refused, so they must be the engines' own times without the queueing of bursts:
//! the more work was queued before a prompt, the less its answer changes the model.

/// Weight of one answer in the learned times.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Prefill time per token before the first answer, in ms.
const INITIAL_TOKEN_MS: f64 = 0.015;

/// Bounds of the learned prefill time per token, in ms.
const TOKEN_MS_BOUNDS: (f64, f64) = (0.000_5, 2.0);

/// Work for which an error is split evenly between the fixed time and the time per token, in
/// tokens: the uncached part of a typical prompt.
const REFERENCE_TOKENS: f64 = 5_000.0;

/// Largest delay that a single answer counts for, in ms: waits that could not be predicted must not be taken
/// for the engine's own time.
const DELAY_BOUND_MS: f64 = 30.0;

/// The same relative to the predicted time, for prompts that take far longer than that.
const RELATIVE_DELAY_BOUND: f64 = 0.2;

/// Most times that the bound is doubled, once for each delayed answer in a row before this one.
const MAX_BOUND_DOUBLINGS: u32 = 6;

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

impl PrefillSample {
    /// The same from an engine of usual speed, if this one has a time factor.
    #[must_use]
    pub fn at_usual_speed(&self, time_factor: f64) -> Self {
        Self {
            elapsed_ms: self.elapsed_ms / time_factor,
            ..*self
        }
    }
}

/// Answers until which a built-in time is the only thing that stands against a delay.
const FIRST_ANSWERS: u32 = 6;

/// Delayed answers in a row from which a decode engine tells the time per token too.
const MIN_TELLING_DELAYS: u32 = 3;

/// Largest delay that an answer counts for after many others in a row, relative to the predicted time.
const MAX_RELATIVE_DELAY: f64 = 3.0;

/// How much the next answer changes a prediction.
///
/// Waits that could not be predicted hit some answers and not others. Engines that are slower than believed
/// delay all of them: then the bound on a delay is raised, since a fixed one would take minutes to learn times
/// that are several times longer. An answer counts as delayed if it took more than twice as long as predicted,
/// since bursts delay many by less. The first answers count for more, as nothing but a built-in time stands
/// against them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Learning {
    answers: u32,
    delayed_in_a_row: u32,
}

impl Learning {
    /// Change of a prediction of `predicted_ms` by an answer that took `error_ms` longer.
    ///
    /// A shorter time counts in full: no wait makes an answer come sooner.
    fn step_ms(&mut self, error_ms: f64, predicted_ms: f64) -> f64 {
        let doublings = if self.answers < FIRST_ANSWERS {
            MAX_BOUND_DOUBLINGS
        } else {
            self.delayed_in_a_row.min(MAX_BOUND_DOUBLINGS)
        };
        let single_ms = DELAY_BOUND_MS.max(predicted_ms * RELATIVE_DELAY_BOUND);
        let raised_ms = single_ms * f64::from(1_u32 << doublings);
        let bound_ms = raised_ms.min((predicted_ms * MAX_RELATIVE_DELAY).max(DELAY_BOUND_MS));
        let is_delayed = error_ms > DELAY_BOUND_MS.max(predicted_ms);
        self.delayed_in_a_row = if is_delayed {
            self.delayed_in_a_row + 1
        } else {
            0
        };
        self.answers += 1;
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.answers + 1));
        weight * error_ms.min(bound_ms)
    }
}

/// Time without an answer for which a learned time is believed unchanged, in ms.
const BELIEVED_MS: f64 = 4_000.0;

/// Time in which half of what exceeds the assumed time is forgotten after that, in ms.
const FORGETTING_HALF_LIFE_MS: f64 = 5_000.0;

/// Time since the last answer that taught each learned time, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct UnconfirmedFor {
    /// The time per token.
    pub token_ms: f64,
    /// The fixed time of a prefill engine.
    pub prefill_ms: f64,
    /// The fixed time of a decode engine that prefills.
    pub decode_prefill_ms: f64,
    /// The time of a transfer.
    pub kv_transfer_ms: f64,
}

/// What is left of a learned time.
///
/// Only what exceeds the assumed time is forgotten. A time that is too long lets no request through that could
/// correct it: requests are refused, or always sent another way. One that is too short corrects itself.
fn remembered(learned: f64, assumed: f64, unconfirmed_ms: f64) -> f64 {
    let half_lives = (unconfirmed_ms - BELIEVED_MS).max(0.0) / FORGETTING_HALF_LIFE_MS;
    assumed.min(learned) + (learned - assumed).max(0.0) * 0.5_f64.powf(half_lives)
}

/// Learned times of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyModel {
    token_ms: f64,
    prefill_base_ms: f64,
    decode_base_ms: f64,
    kv_transfer_ms: f64,
    prefills: Learning,
    decode_prefills: Learning,
    transfers: Learning,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self {
            token_ms: INITIAL_TOKEN_MS,
            prefill_base_ms: INITIAL_BASE_MS,
            decode_base_ms: INITIAL_BASE_MS,
            kv_transfer_ms: INITIAL_KV_TRANSFER_MS,
            prefills: Learning::default(),
            decode_prefills: Learning::default(),
            transfers: Learning::default(),
        }
    }
}

impl LatencyModel {
    /// Learns from a prefill on a prefill engine.
    pub fn record_prefill(&mut self, sample: &PrefillSample) {
        let queued = self.pending_tokens(sample.queued_tokens);
        let tokens = sample.own_tokens + queued;
        let predicted_ms = self.prefill_base_ms + tokens * self.token_ms;
        let error_ms = sample.elapsed_ms - predicted_ms;
        let step_ms =
            own_fraction(sample.own_tokens, queued) * self.prefills.step_ms(error_ms, predicted_ms);
        let base_ms = self.prefill_base_ms + self.split(step_ms, tokens);
        self.prefill_base_ms = base_ms.max(0.0);
    }

    /// Predicted time of a prefill on a prefill engine.
    pub fn prefill_ms(&self, sample: &PrefillSample) -> f64 {
        let tokens = sample.own_tokens + self.pending_tokens(sample.queued_tokens);
        self.prefill_base_ms + tokens * self.token_ms
    }

    /// Learns from a prefill on a decode engine, for which a wait of `wait_ms` and `own_ms` for
    /// the request itself were predicted, and which took `error_ms` longer.
    pub fn record_decode_prefill(&mut self, error_ms: f64, wait_ms: f64, own_ms: f64) {
        let prefill_ms = (own_ms - self.decode_base_ms).max(0.0);
        let step_ms =
            own_fraction(own_ms, wait_ms) * self.decode_prefills.step_ms(error_ms, own_ms);
        // The output of other requests delays single prefills here by more than their tokens do.
        let fixed_ms = if self.decode_prefills.delayed_in_a_row >= MIN_TELLING_DELAYS {
            self.split(step_ms, prefill_ms / self.token_ms)
        } else {
            step_ms
        };
        let base_ms = self.decode_base_ms + fixed_ms;
        self.decode_base_ms = base_ms.max(0.0);
    }

    /// Splits the change of a prediction between the time per token and a fixed time, in proportion to the
    /// influence of each on the answer (normalised least mean squares); returns the fixed time's part.
    fn split(&mut self, step_ms: f64, tokens: f64) -> f64 {
        let length = tokens / REFERENCE_TOKENS;
        let fixed_ms = step_ms / (1.0 + length * length);
        let token_ms = self.token_ms + fixed_ms * length / REFERENCE_TOKENS;
        self.token_ms = token_ms.clamp(TOKEN_MS_BOUNDS.0, TOKEN_MS_BOUNDS.1);
        fixed_ms
    }

    /// Learns from the transfer of a prompt's KV cache to a decode engine, after which the output
    /// started `error_ms` later than predicted.
    pub fn record_kv_transfer(&mut self, error_ms: f64) {
        let step_ms = self.transfers.step_ms(error_ms, self.kv_transfer_ms);
        self.kv_transfer_ms = (self.kv_transfer_ms + step_ms).max(0.0);
    }

    /// The model after a time in which answers confirmed nothing.
    #[must_use]
    pub fn after(&self, unconfirmed: &UnconfirmedFor) -> Self {
        let assumed = Self::default();
        let restarted = |learning: Learning, unconfirmed_ms: f64| {
            let is_doubtful = unconfirmed_ms > BELIEVED_MS + FORGETTING_HALF_LIFE_MS;
            if is_doubtful {
                Learning::default()
            } else {
                learning
            }
        };
        Self {
            token_ms: remembered(self.token_ms, assumed.token_ms, unconfirmed.token_ms),
            prefill_base_ms: remembered(
                self.prefill_base_ms,
                assumed.prefill_base_ms,
                unconfirmed.prefill_ms,
            ),
            decode_base_ms: remembered(
                self.decode_base_ms,
                assumed.decode_base_ms,
                unconfirmed.decode_prefill_ms,
            ),
            kv_transfer_ms: remembered(
                self.kv_transfer_ms,
                assumed.kv_transfer_ms,
                unconfirmed.kv_transfer_ms,
            ),
            prefills: restarted(self.prefills, unconfirmed.prefill_ms),
            decode_prefills: restarted(self.decode_prefills, unconfirmed.decode_prefill_ms),
            transfers: restarted(self.transfers, unconfirmed.kv_transfer_ms),
        }
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
