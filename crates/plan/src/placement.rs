//! Predictions for placing prefill and decode when engines do one or the other (disaggregated
//! serving).
//!
//! Long prompts of 17,000 tokens, most of which they share with other prompts, are mixed with
//! short questions, and the mix changes within seconds. Prefilling a shared prefix again takes an
//! engine a quarter of a second; an engine that caches it needs a tenth of that for the rest of
//! the prompt. So requests that share a prefix go to the engines that cache it, until the queue
//! there costs more than copying or prefilling the prefix elsewhere, including the memory that it
//! takes there. Instances learn by gossip which engine caches what; for a prefix that no engine
//! caches, each derives the same affinity target from the prefix id. See docs/design/platform.md.

use crate::LatencyModel;

/// Prompt tokens whose prefill costs as much as the attention between a million pairs of tokens;
/// the number of pairs grows with the square of the prompt length. Two kinds of engines have 32
/// and 41.
const TOKENS_PER_MILLION_PAIRS: f64 = 36.0;

/// Factor by which a prefill is slower on a decode engine, which runs it in chunks between the
/// output of other requests.
const DECODE_ENGINE_SLOWDOWN: f64 = 2.0;

/// Time of an iteration without prefill, relative to one with a prefill chunk, if the engine has no
/// other requests.
const IDLE_ITERATION: f64 = 0.3;

/// What a full batch adds to `IDLE_ITERATION`.
const FULL_BATCH_ITERATION: f64 = 0.7;

/// Fewest pauses in output for which a prefill counts: even a short one causes a pause.
const MIN_PAUSES: f64 = 1.0;

/// Most pauses in output for which a prefill counts: after a few, the same answers are late anyway.
const MAX_PAUSES: f64 = 3.0;

/// Prompt tokens that a decode engine prefills between two tokens of output: by the engines' data
/// sheets a quarter of the chunk of an engine that only prefills.
const CHUNK_TOKENS: f64 = 512.0;

/// Time between two events of output on an engine without prefill, as a fraction of its objective.
const BASE_GAP: f64 = 0.3;

/// Time between two events, in objectives, up to which other answers are in time and from which
/// they are certainly late.
const LATE_GAP_BOUNDS: (f64, f64) = (0.6, 1.1);

/// Cost per token of storing a shared prefix on one more engine, in ms: four times its prefill
/// time. The prefixes evicted for it are prefilled again later, often in a burst, while other
/// requests wait for the engine.
const EVICTION_TOKEN_MS: f64 = 0.06;

/// Delay by a batch that is filling up, as a fraction of the time until a slot becomes free.
const FILLING_DELAY: f64 = 0.25;

/// Most work assumed for a running prefill of a less urgent rank, in tokens. It is high because
/// those ranks hold late prompts, and long prompts are the likeliest to be late.
const LATE_PROMPT_TOKENS: f64 = 40_000.0;

/// Average fraction of a running prefill that remains when another prompt arrives.
const REMAINING_FRACTION: f64 = 0.5;

/// The state of an engine as far as it matters for placing one prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineView {
    /// Prefill work in its queue of this rank and more urgent ones, in tokens.
    pub queued_tokens: f64,
    /// Prefill work in its queue of less urgent ranks, in tokens; a prefill of it that is already
    /// running is not preempted.
    pub lower_priority_tokens: f64,
    /// Tokens of this prompt that it caches, including those that it would copy.
    pub cached_tokens: f64,
    /// Time of the copy from another engine; 0 without one.
    pub copy_ms: f64,
    /// Tokens of the prompt's shared prefixes that it would have to store.
    pub new_tokens: f64,
    /// Requests that it has, waiting or running.
    pub requests: f64,
    /// Prompt tokens of the requests that it decodes.
    pub context_tokens: f64,
    /// Requests that it runs at the same time.
    pub slots: f64,
    /// One-way network delay.
    pub one_way_delay_ms: f64,
    /// Factor by which it has been slower than predicted; below 1 counts as 1.
    pub slowness: f64,
    /// Factor by which all its times differ from those of an engine of usual speed; below 1 if it is
    /// faster.
    pub time_factor: f64,
}

impl Default for EngineView {
    fn default() -> Self {
        Self {
            queued_tokens: 0.0,
            lower_priority_tokens: 0.0,
            cached_tokens: 0.0,
            copy_ms: 0.0,
            new_tokens: 0.0,
            requests: 0.0,
            context_tokens: 0.0,
            slots: 0.0,
            one_way_delay_ms: 0.0,
            slowness: 0.0,
            time_factor: 1.0,
        }
    }
}

impl EngineView {
    /// Factor for times of prefill work, by its pace and by how much slower than predicted it was.
    fn token_factor(&self) -> f64 {
        self.slowness.max(1.0) * self.time_factor
    }

    /// Cost of the prefixes that it has to evict for those of this prompt.
    fn eviction_ms(&self) -> f64 {
        self.new_tokens * EVICTION_TOKEN_MS
    }

    /// Requests relative to slots; above 1 if some are waiting.
    fn occupancy(&self) -> f64 {
        self.requests / self.slots.max(1.0)
    }

    /// Time until a slot becomes free, and the delay by a batch that is filling up.
    fn slot_wait_ms(&self, turnover_ms: f64) -> f64 {
        let over = (self.requests + 1.0 - self.slots).max(0.0);
        let turnover_ms = turnover_ms * self.time_factor;
        turnover_ms * (over / self.slots.max(1.0) + FILLING_DELAY * self.occupancy())
    }

    /// Expected remainder of a running prefill of a less urgent rank.
    fn running_tokens(&self) -> f64 {
        self.lower_priority_tokens.min(LATE_PROMPT_TOKENS) * REMAINING_FRACTION
    }
}

/// The properties of a request on which a decode prediction depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecodeRequest {
    /// Length of the prompt.
    pub prompt_tokens: f64,
    /// Time until a slot of a full batch becomes free.
    pub slot_turnover_ms: f64,
    /// Objective for the time between two events.
    pub gap_goal_ms: f64,
    /// Tokens per event.
    pub event_tokens: f64,
}

/// A predicted time, split by cause.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prediction {
    /// Time spent waiting for other requests.
    pub wait_ms: f64,
    /// Time for the request itself.
    pub processing_ms: f64,
    /// Weighted delay of other requests, which counts in comparisons only.
    pub interference_ms: f64,
}

impl Prediction {
    /// Predicted time, with waiting.
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.processing_ms
    }

    /// The same at an engine of usual speed, if this one has a time factor.
    #[must_use]
    pub fn at_usual_speed(&self, time_factor: f64) -> Self {
        Self {
            wait_ms: self.wait_ms / time_factor,
            processing_ms: self.processing_ms / time_factor,
            interference_ms: self.interference_ms / time_factor,
        }
    }

    /// Cost by which placements are compared.
    pub fn cost_ms(&self) -> f64 {
        self.total_ms() + self.interference_ms
    }
}

/// Work of prefilling the rest of a prompt whose start is cached, in tokens of a short prompt.
pub fn work_tokens(prompt_tokens: f64, cached_tokens: f64) -> f64 {
    let own = (prompt_tokens - cached_tokens).max(0.0);
    let pairs = own * (cached_tokens.min(prompt_tokens) + own / 2.0);
    own + pairs / 1e6 * TOKENS_PER_MILLION_PAIRS
}

impl LatencyModel {
    /// Predicts the time until a prefill engine has prefilled a prompt.
    pub fn predict_prefill(&self, view: &EngineView, prompt_tokens: f64) -> Prediction {
        let own = work_tokens(prompt_tokens, view.cached_tokens);
        let token_ms = self.token_ms() * view.token_factor();
        Prediction {
            wait_ms: self.pending_tokens(view.queued_tokens + view.running_tokens()) * token_ms,
            processing_ms: 2.0 * view.one_way_delay_ms
                + view.copy_ms
                + self.prefill_base_ms() * view.time_factor
                + own * token_ms,
            interference_ms: view.eviction_ms(),
        }
    }

    /// Predicts the time until a decode engine starts the output of a request, with the prefill of
    /// what it does not cache of the prompt.
    pub fn predict_decode(&self, view: &EngineView, request: &DecodeRequest) -> Prediction {
        let own = work_tokens(request.prompt_tokens, view.cached_tokens);
        let token_ms = self.decode_token_ms(view);
        let prefill_ms = own * token_ms;
        let fixed_ms = if own > 0.0 {
            self.decode_base_ms()
        } else {
            self.kv_transfer_ms()
        };
        let fixed_ms = fixed_ms * view.time_factor;
        Prediction {
            wait_ms: self.decode_pending_ms(view, token_ms)
                + view.slot_wait_ms(request.slot_turnover_ms),
            processing_ms: 2.0 * view.one_way_delay_ms + view.copy_ms + fixed_ms + prefill_ms,
            interference_ms: self.interruption_ms(view, request, prefill_ms) + view.eviction_ms(),
        }
    }

    /// Time of the prefills that a decode engine has really still to do, without those that are
    /// finished but not answered yet.
    fn decode_pending_ms(&self, view: &EngineView, token_ms: f64) -> f64 {
        let base_ms = self.decode_base_ms() * view.time_factor;
        (view.queued_tokens * token_ms - base_ms).max(0.0)
    }

    /// Prefill time per token of work on a decode engine.
    fn decode_token_ms(&self, view: &EngineView) -> f64 {
        let iterations = 1.0 + IDLE_ITERATION + FULL_BATCH_ITERATION * view.occupancy().min(1.0);
        self.token_ms() * DECODE_ENGINE_SLOWDOWN * iterations * view.token_factor()
    }

    /// Time that the other requests on a decode engine lose by a prefill of `prefill_ms`, weighted
    /// by the probability that it makes them late.
    ///
    /// Prefills that follow each other cause one long pause in the output, so the queued ones count
    /// along with this one. If the pause gets too long, every request loses the time of the
    /// prefill, once for each pause that a long prefill causes.
    fn interruption_ms(&self, view: &EngineView, request: &DecodeRequest, prefill_ms: f64) -> f64 {
        let before = request.prompt_tokens.max(CHUNK_TOKENS) - CHUNK_TOKENS;
        let chunk = work_tokens(before + CHUNK_TOKENS, before);
        let token_ms = self.decode_token_ms(view);
        // Without the iterations that do not prefill: `BASE_GAP` contains them.
        let chunk_ms = chunk * self.token_ms() * DECODE_ENGINE_SLOWDOWN * view.token_factor();
        let queued_ms = view.queued_tokens * token_ms;
        let event_ms = request.event_tokens * chunk_ms;
        let late = late_probability(queued_ms + prefill_ms, event_ms, request.gap_goal_ms);
        let pauses = (prefill_ms / request.gap_goal_ms.max(1.0)).clamp(MIN_PAUSES, MAX_PAUSES);
        view.requests * late * prefill_ms * pauses
    }
}

/// Probability that prefills on a decode engine make the output of other requests late.
///
/// Prompts are prefilled in chunks between the output tokens of other requests, so the pause
/// between two events is at most as long as the chunks in between, not as the whole prefill.
fn late_probability(prefill_ms: f64, event_ms: f64, gap_goal_ms: f64) -> f64 {
    let gap_ms = prefill_ms.min(event_ms) + gap_goal_ms * BASE_GAP;
    let (in_time, late) = LATE_GAP_BOUNDS;
    ((gap_ms / gap_goal_ms.max(1.0) - in_time) / (late - in_time)).clamp(0.0, 1.0)
}

/// Index and prediction of the placement with the lowest cost.
pub fn cheapest(predicted: impl Iterator<Item = Prediction>) -> Option<(usize, Prediction)> {
    predicted
        .enumerate()
        .min_by(|a, b| a.1.cost_ms().total_cmp(&b.1.cost_ms()))
}
