//! Prompt parts that an engine is believed to hold.

/// Share of an engine's cache memory that a belief about cached parts may count on; the rest
/// holds the requests that run.
const CACHE_SHARE: f64 = 0.7;

#[derive(Debug, Clone, Copy)]
struct Kept {
    part: u64,
    tokens: f64,
}

/// What an engine is believed to hold, oldest first.
///
/// Engines drop what was used least recently and say nothing of it, so this is a hint: a wrong one
/// costs a longer read, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct KeptParts {
    parts: Vec<Kept>,
}

impl KeptParts {
    /// A part was sent to be read; older ones yield once the memory is full.
    pub fn add(&mut self, part: u64, tokens: f64, room_tokens: f64) {
        self.parts.retain(|each| each.part != part);
        self.parts.push(Kept { part, tokens });
        let mut held: f64 = self.parts.iter().map(|each| each.tokens).sum();
        while held > room_tokens * CACHE_SHARE && self.parts.len() > 1 {
            held -= self.parts.remove(0).tokens;
        }
    }

    /// Tokens of a part; none if it is not held.
    pub fn tokens(&self, part: u64) -> f64 {
        let found = self.parts.iter().find(|each| each.part == part);
        found.map_or(0.0, |each| each.tokens)
    }
}
