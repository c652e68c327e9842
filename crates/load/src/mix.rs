//! The requests that callers of a deployment send: kinds, heavy-tailed sizes, shared prompt parts, and
//! rates that swing.

use rand::Rng;
use serde::Deserialize;

/// Distribution of a size: log-normal, cut at `max`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeDistribution {
    /// Mean before the cut.
    pub mean: f64,
    /// Standard deviation of the logarithm; 0 if all sizes are alike.
    #[serde(default)]
    pub spread: f64,
    /// Largest size.
    pub max: f64,
}

impl SizeDistribution {
    /// Draws a size of at least 1.
    pub fn draw(&self, random: &mut impl Rng) -> u32 {
        let normal = standard_normal(random);
        let location = self.mean.ln() - self.spread * self.spread / 2.0;
        let size = (location + self.spread * normal).exp();
        size.clamp(1.0, self.max.max(1.0)).round() as u32
    }
}

/// Box-Muller transform.
fn standard_normal(random: &mut impl Rng) -> f64 {
    let radius = (-2.0 * random.random_range(f64::EPSILON..1.0_f64).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

/// What callers may do after an answer that does not tell whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// Generates text, which is streamed.
    Stream,
    /// May run more than once.
    Safe,
    /// May run once at most.
    Unsafe,
}

/// A prompt part that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SharedPart {
    /// Length in tokens; each text has one of its own.
    pub tokens: SizeDistribution,
    /// Number of texts.
    pub texts: u32,
    /// Exponent by which the use of a text falls with its rank.
    #[serde(default)]
    pub skew: f64,
}

/// Sizes of the generations of a kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationSizes {
    /// Shared parts at the start of the prompt, in order.
    pub shared: Vec<SharedPart>,
    /// Tokens of the prompt that belong to the request alone.
    pub own_tokens: SizeDistribution,
    /// Events of the output.
    pub events: SizeDistribution,
}

/// A kind of request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name, which is also the name of its route.
    pub name: String,
    /// What callers may do after a failure.
    pub kind: CallKind,
    /// The service that answers.
    pub service: String,
    /// Rate of all callers together, in requests per second.
    pub per_s: f64,
    /// Time within which an answer, or the first event of a stream, is on time, in ms.
    pub goal_ms: u64,
    /// Longest pause between two events of a stream that is on time, in ms.
    #[serde(default)]
    pub gap_goal_ms: u64,
    /// Time for which callers wait, in ms.
    pub deadline_ms: u64,
    /// Priority of its route, 0 first.
    pub priority: u8,
    /// What an answer on time is worth.
    pub worth: f64,
    /// What a late answer is worth.
    pub late_worth: f64,
    /// Most upstreams that one attempt may be sent to.
    pub max_attempts: u32,
    /// Whether a stream may be continued at another upstream.
    #[serde(default)]
    pub resumable: bool,
    /// Attempts that a caller makes beyond the first.
    pub retries: u32,
    /// Length of the request's body, in bytes.
    pub body_bytes: usize,
    /// Sizes, if it generates text.
    pub generation: Option<GenerationSizes>,
    /// Time that a plain service works on it, in ms.
    pub work_ms: Option<SizeDistribution>,
}

/// A prompt part with the text that was drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrawnPart {
    /// Identifies its text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Sizes of one request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DrawnSizes {
    /// Parts of the prompt, in order; the last one belongs to the request alone. Empty if it generates no text.
    pub parts: Vec<DrawnPart>,
    /// Events of the output.
    pub events: u32,
}

impl DrawnSizes {
    /// Length of the prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// Draws the requests of one class.
pub struct ClassSampler {
    sizes: Option<GenerationSizes>,
    texts: Vec<SharedTexts>,
    own_ids: u64,
}

/// The texts of a shared part: their ids, lengths, and cumulative use.
struct SharedTexts {
    texts: Vec<DrawnPart>,
    cumulative_use: Vec<f64>,
}

impl SharedTexts {
    fn new(part: &SharedPart, first_id: u64, random: &mut impl Rng) -> Self {
        let text = |number: u32| DrawnPart {
            id: first_id + u64::from(number),
            tokens: part.tokens.draw(random),
        };
        let texts = (0..part.texts).map(text).collect();
        let mut total = 0.0;
        let cumulative_use = (1..=part.texts).map(|rank| {
            total += f64::from(rank).powf(-part.skew);
            total
        });
        Self {
            cumulative_use: cumulative_use.collect(),
            texts,
        }
    }

    fn draw(&self, random: &mut impl Rng) -> Option<DrawnPart> {
        let total = self.cumulative_use.last()?;
        let point = random.random_range(0.0..*total);
        let index = self.cumulative_use.partition_point(|&end| end <= point);
        self.texts.get(index).copied()
    }
}

/// Room for the ids of one shared part; classes and parts get disjoint ranges.
const IDS_PER_PART: u64 = 1 << 20;

impl ClassSampler {
    /// Creates the sampler of class `number`. Samplers that share a seed draw the same shared texts.
    pub fn new(class: &RequestClass, number: usize, random: &mut impl Rng) -> Self {
        let first = (number as u64 + 1) << 32;
        let shared = class.generation.iter().flat_map(|sizes| &sizes.shared);
        let texts = shared.enumerate().map(|(part, shared)| {
            SharedTexts::new(shared, first + part as u64 * IDS_PER_PART, random)
        });
        Self {
            texts: texts.collect(),
            sizes: class.generation.clone(),
            own_ids: (number as u64 + 1) << 48,
        }
    }

    /// Draws one request.
    pub fn draw(&self, random: &mut impl Rng) -> DrawnSizes {
        let Some(sizes) = &self.sizes else {
            return DrawnSizes::default();
        };
        let mut parts: Vec<DrawnPart> = self
            .texts
            .iter()
            .filter_map(|texts| texts.draw(random))
            .collect();
        parts.push(DrawnPart {
            id: self.own_ids | random.random_range(0..IDS_PER_PART << 20),
            tokens: sizes.own_tokens.draw(random),
        });
        DrawnSizes {
            parts,
            events: sizes.events.draw(random),
        }
    }
}

/// Swing of the rates: of all together as a wave, and between the generating classes in turns.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Swing {
    /// Fraction by which the wave rises and falls.
    pub wave: f64,
    /// Period of the wave, in s.
    pub wave_s: f64,
    /// Factor on the class whose turn it is; the other ones get what is left of twice their rate.
    pub turn: f64,
    /// Length of a turn, in s.
    pub turn_s: f64,
}

impl Swing {
    /// Factor on the rate of generating class `number` at a time.
    pub fn generation_factor(&self, number: usize, at_s: f64) -> f64 {
        let is_turn = (at_s / self.turn_s) as usize % 2 == number % 2;
        let turn = if is_turn { self.turn } else { 2.0 - self.turn };
        turn.max(0.0) * self.wave_factor(at_s)
    }

    /// Factor on the rate of other classes at a time.
    pub fn wave_factor(&self, at_s: f64) -> f64 {
        1.0 + self.wave * (std::f64::consts::TAU * at_s / self.wave_s).sin()
    }

    /// Largest factor at any time.
    pub fn max_factor(&self) -> f64 {
        self.turn.max(2.0 - self.turn) * (1.0 + self.wave)
    }
}
