//! Where a prompt is read and where its output is made, when engines do one or the other.
//!
//! Load pattern: prompts of 17,000 tokens, most of which they share with others, come beside
//! short questions, and the mix swings within seconds. Reading a shared part again costs an
//! engine a quarter of a second; the engine that has read it needs a tenth of that for the rest.
//! So requests that share a part meet at the same engine until the queue there costs more than
//! reading the part elsewhere. Every instance derives that engine from the part's id alone, and
//! nothing needs to be exchanged. See docs/design/platform.md.

/// Weight that one answer has in the learned time of a prompt token.
const SMOOTHING: f64 = 0.1;

/// Time of a prompt token before any answer, in ms; corrected by the first answers.
const FIRST_GUESS_MS: f64 = 0.02;

/// Bounds of the learned time of a prompt token, in ms: engines read 5 to 500 tokens a ms.
const TOKEN_MS: (f64, f64) = (0.002, 0.2);

/// Prompts shorter than this say more of the engine's fixed costs than of its reading.
const TELLING_TOKENS: f64 = 1_000.0;

/// How much longer a decoding engine takes to read a prompt: it reads at half the speed, in
/// pieces between the output of other requests.
const READ_BESIDE: f64 = 2.0;

/// An engine as one placement sees it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineView {
    /// Prompt tokens sent there that it has still to read.
    pub queued_tokens: f64,
    /// Tokens of this prompt that it is believed to hold.
    pub cached_tokens: f64,
    /// Requests there, waiting or running.
    pub requests: f64,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Time of one way to it.
    pub distance_ms: f64,
    /// How much slower than predicted it has been.
    pub slowness: f64,
}

/// What was learned of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    token_ms: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            token_ms: FIRST_GUESS_MS,
        }
    }
}

impl Pace {
    /// A prompt call took `elapsed_ms` with `tokens` to read, its own and those before it.
    pub fn learn(&mut self, tokens: f64, elapsed_ms: f64) {
        if tokens < TELLING_TOKENS {
            return;
        }
        let seen = (elapsed_ms / tokens).clamp(TOKEN_MS.0, TOKEN_MS.1);
        self.token_ms += SMOOTHING * (seen - self.token_ms);
    }

    /// Time of one prompt token, in ms.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Time until an engine that only reads prompts has read this one.
    pub fn prefill_ms(&self, view: &EngineView, prompt_tokens: f64) -> f64 {
        let own = (prompt_tokens - view.cached_tokens).max(0.0);
        2.0 * view.distance_ms
            + (view.queued_tokens + own) * self.token_ms * view.slowness.max(1.0)
    }

    /// Time until a decoding engine has read a prompt itself and waited for a place.
    pub fn decode_ms(&self, view: &EngineView, prompt_tokens: f64, place_ms: f64) -> f64 {
        let own = (prompt_tokens - view.cached_tokens).max(0.0);
        let read = (view.queued_tokens + own) * self.token_ms * READ_BESIDE;
        let over = (view.requests + 1.0 - view.slots).max(0.0);
        let wait = over / view.slots.max(1.0) * place_ms;
        let crowding = view.requests / view.slots.max(1.0) * place_ms * 0.25;
        2.0 * view.distance_ms + (read + wait + crowding) * view.slowness.max(1.0)
    }
}

/// Index of the least time, and that time.
pub fn least(times_ms: impl Iterator<Item = f64>) -> Option<(usize, f64)> {
    times_ms
        .enumerate()
        .min_by(|a, b| a.1.total_cmp(&b.1))
}
