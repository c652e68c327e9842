//! Where a prompt is read and where its output is made, when engines do one or the other.
//!
//! Load pattern: prompts of 17,000 tokens, most of which they share with others, come beside
//! short questions, and the mix swings within seconds. Reading a shared part again costs an
//! engine a quarter of a second; the engine that has read it needs a tenth of that for the rest.
//! So requests that share a part meet at the engines that hold it, until the queue there costs more
//! than copying or reading the part elsewhere and the memory that it takes there. Who holds what
//! the instances tell each other; a part that nobody holds has a home that each derives from its
//! id alone. See docs/design/platform.md.

use crate::LatencyModel;

/// Tokens whose reading costs as much as attending a million pairs of tokens. Attention grows
/// with the square of the prompt; for two fleets of different engines the ratio was 32 and 41.
const TOKENS_A_MILLION_PAIRS: f64 = 36.0;

/// How much longer a decoding engine takes to read a prompt: it reads at half the speed, in
/// pieces between the output of other requests.
const READ_BESIDE: f64 = 2.0;

/// Time of a step without reading, as part of the time that it takes with a piece of a prompt: at
/// an engine that makes no other output, and what a full batch adds.
const IDLE_STEP: f64 = 0.3;
const FULL_STEP: f64 = 0.7;

/// Pauses that a read counts as at the least and at the most: one that is shorter than a pause makes
/// one, and beyond a few the same answers are late already.
const FEWEST_PAUSES: f64 = 1.0;
const MOST_PAUSES: f64 = 3.0;

/// Prompt tokens that an engine reads between two tokens of output: a quarter of the piece in
/// which it reads when it does nothing else, as the users' sheets have it.
const PIECE_TOKENS: f64 = 512.0;

/// Share of the objective for pauses that output takes where nothing is read.
const USUAL_GAP: f64 = 0.3;

/// Pauses, in objectives, at which a read begins to make others late and at which it surely does.
const LATE_GAPS: (f64, f64) = (0.6, 1.1);

/// What a token of a shared part costs that takes memory at one more engine, in ms: four times
/// the time to read it. What yields to it is read again, often in a rush, when others wait for
/// that engine.
const DISPLACED_MS: f64 = 0.06;

/// Part of a place's time by which a batch slows its answers on the way to being full.
const FILLING: f64 = 0.25;

/// Work of one prompt that will be late, in tokens: the longer prompts are, the likelier they are late.
const LATE_TOKENS: f64 = 40_000.0;

/// Part of a prompt that is left to be read when another one comes, on average.
const UNREAD_SHARE: f64 = 0.5;

/// An engine as one placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineView {
    /// Work sent there that it has still to read, in tokens.
    pub queued_tokens: f64,
    /// Work there of later ranks; what of it is being read by now is not put back.
    pub lower_priority_tokens: f64,
    /// Tokens of this prompt that it is believed to hold.
    pub cached_tokens: f64,
    /// Time to copy those of them that it does not hold yet from another engine.
    pub copy_ms: f64,
    /// Tokens of shared parts that its memory does not have yet.
    pub new_tokens: f64,
    /// Requests there, waiting or running.
    pub requests: f64,
    /// Prompt tokens of the requests that make output there.
    pub context_tokens: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Time of one way to it.
    pub one_way_delay_ms: f64,
    /// How much slower than predicted it has been.
    pub slowness: f64,
}

impl EngineView {
    /// What the parts are worth that make room for this prompt's shared ones.
    fn displacing_ms(&self) -> f64 {
        self.new_tokens * DISPLACED_MS
    }

    /// Requests there as a share of those that it runs at once.
    fn fullness(&self) -> f64 {
        self.requests / self.slots.max(1.0)
    }

    /// Time until a place comes free, and what a filling batch adds before none is.
    fn place_ms(&self, place_ms: f64) -> f64 {
        let over = (self.requests + 1.0 - self.slots).max(0.0);
        place_ms * (over / self.slots.max(1.0) + FILLING * self.fullness())
    }

    /// What is expected to be left of a prompt of a later rank that is being read.
    fn being_read_tokens(&self) -> f64 {
        self.lower_priority_tokens.min(LATE_TOKENS) * UNREAD_SHARE
    }
}

/// What an engine for output is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecodeRequest {
    /// Length of the prompt.
    pub prompt_tokens: f64,
    /// Time that a place in a full batch takes to come free.
    pub slot_turnover_ms: f64,
    /// Longest pause between two events that is on time.
    pub gap_goal_ms: f64,
    /// Tokens that come with one event.
    pub event_tokens: f64,
}

/// A prediction, split by what causes it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prediction {
    /// Time behind other requests.
    pub wait_ms: f64,
    /// Time for the request itself.
    pub processing_ms: f64,
    /// Time that it takes from the other requests of the engine, weighed.
    pub interference_ms: f64,
}

impl Prediction {
    /// Time until the request is served.
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.processing_ms
    }

    /// What placements are compared by.
    pub fn cost_ms(&self) -> f64 {
        self.total_ms() + self.interference_ms
    }
}

/// Work of reading the rest of a prompt whose start is cached, in tokens of a short prompt.
pub fn work_tokens(prompt_tokens: f64, cached_tokens: f64) -> f64 {
    let own = (prompt_tokens - cached_tokens).max(0.0);
    let pairs = own * (cached_tokens.min(prompt_tokens) + own / 2.0);
    own + pairs / 1e6 * TOKENS_A_MILLION_PAIRS
}

impl LatencyModel {
    /// Time until an engine that only reads prompts has read this one.
    pub fn predict_prefill(&self, view: &EngineView, prompt_tokens: f64) -> Prediction {
        let own = work_tokens(prompt_tokens, view.cached_tokens);
        let token_ms = self.token_ms() * view.slowness.max(1.0);
        Prediction {
            wait_ms: self.pending_tokens(view.queued_tokens + view.being_read_tokens()) * token_ms,
            processing_ms: 2.0 * view.one_way_delay_ms
                + view.copy_ms
                + self.prefill_base_ms()
                + own * token_ms,
            interference_ms: view.displacing_ms(),
        }
    }

    /// Time until a decoding engine has read a prompt itself and waited for a place.
    pub fn predict_decode(&self, view: &EngineView, ask: &DecodeRequest) -> Prediction {
        let own = work_tokens(ask.prompt_tokens, view.cached_tokens);
        let token_ms = self.token_beside_ms(view);
        let read_ms = own * token_ms;
        let fixed_ms = if own > 0.0 {
            self.decode_base_ms()
        } else {
            self.kv_transfer_ms()
        };
        Prediction {
            wait_ms: self.unread_beside_ms(view, token_ms) + view.place_ms(ask.slot_turnover_ms),
            processing_ms: 2.0 * view.one_way_delay_ms + view.copy_ms + fixed_ms + read_ms,
            interference_ms: self.pausing_ms(view, ask, read_ms) + view.displacing_ms(),
        }
    }

    /// Time to read what is really still to be read at an engine that makes output.
    fn unread_beside_ms(&self, view: &EngineView, token_ms: f64) -> f64 {
        (view.queued_tokens * token_ms - self.decode_base_ms()).max(0.0)
    }

    /// Time of one token of work that is read beside output.
    fn token_beside_ms(&self, view: &EngineView) -> f64 {
        let steps = 1.0 + IDLE_STEP + FULL_STEP * view.fullness().min(1.0);
        self.token_ms() * READ_BESIDE * steps * view.slowness.max(1.0)
    }

    /// Time that the others at an engine lose by a read of `read_ms`, if it makes them late.
    ///
    /// Prompts that are read one after the other make one long pause, so what is still to be read
    /// there counts with this one. Where the pause gets too long, all who make output there lose as
    /// much as the read takes, and once more for each further pause of a long one. With the usual
    /// pause, steps without a read are counted already.
    fn pausing_ms(&self, view: &EngineView, ask: &DecodeRequest, read_ms: f64) -> f64 {
        let before = ask.prompt_tokens.max(PIECE_TOKENS) - PIECE_TOKENS;
        let piece = work_tokens(before + PIECE_TOKENS, before);
        let token_ms = self.token_beside_ms(view);
        let piece_ms = piece * self.token_ms() * READ_BESIDE * view.slowness.max(1.0);
        let queued_ms = view.queued_tokens * token_ms;
        let event_ms = ask.event_tokens * piece_ms;
        let late = late_share(queued_ms + read_ms, event_ms, ask.gap_goal_ms);
        let pauses = (read_ms / ask.gap_goal_ms.max(1.0)).clamp(FEWEST_PAUSES, MOST_PAUSES);
        view.requests * late * read_ms * pauses
    }
}

/// How likely a prompt read beside output makes the output late, from none to surely.
///
/// The prompt is read in pieces between the tokens of others, so their pause is that of the
/// pieces between two events and not that of the whole prompt.
fn late_share(read_ms: f64, event_ms: f64, gap_goal_ms: f64) -> f64 {
    let pause_ms = read_ms.min(event_ms) + gap_goal_ms * USUAL_GAP;
    let (from, to) = LATE_GAPS;
    ((pause_ms / gap_goal_ms.max(1.0) - from) / (to - from)).clamp(0.0, 1.0)
}

/// Index of the least time, and what is predicted there.
pub fn cheapest(predicted: impl Iterator<Item = Prediction>) -> Option<(usize, Prediction)> {
    predicted
        .enumerate()
        .min_by(|a, b| a.1.cost_ms().total_cmp(&b.1.cost_ms()))
}
