//! Prompt parts that an engine is believed to hold.

use view::PrefillProgress;

/// Share of an engine's free memory that a belief about cached parts counts on; the rest goes to
/// short prompts and output, of which nothing is noted. A belief of 1.1 did no better, one of 1.4 had
/// half as much again read twice, since copies were asked for that were gone.
const USABLE_MEMORY_FRACTION: f64 = 0.85;

/// Parts shorter than this are read again sooner than remembered, in tokens.
pub const MIN_CACHED_TOKENS: u32 = 200;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    part: u64,
    tokens: f64,
    reading: PrefillProgress,
}

/// What an engine is believed to hold, least recently used first.
///
/// Engines drop what was used least recently and say nothing of it, so this is a hint: a wrong one
/// costs a longer read, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    parts: Vec<CachedPart>,
}

impl CachedParts {
    /// A part was used; those used least recently yield once the memory is full.
    pub fn add(&mut self, part: u64, tokens: f64, reading: PrefillProgress, free_tokens: f64) {
        let at = self.parts.iter().position(|each| each.part == part);
        let known = at.map(|at| self.parts.remove(at).reading);
        let reading = known.map_or(reading, |known| known.max(reading));
        self.parts.push(CachedPart {
            part,
            tokens,
            reading,
        });
        let mut held: f64 = self.parts.iter().map(|each| each.tokens).sum();
        let mut evicted = 0;
        while held > free_tokens * USABLE_MEMORY_FRACTION && evicted + 1 < self.parts.len() {
            held -= self.parts[evicted].tokens;
            evicted += 1;
        }
        self.parts.drain(..evicted);
    }

    /// Tokens of a part; none if it is neither held nor being read.
    pub fn tokens(&self, part: u64) -> f64 {
        self.find(part).map_or(0.0, |each| each.tokens)
    }

    /// Tokens of a part that has been read.
    ///
    /// One that is still being read cannot be copied: the engine that asks for it finds nothing
    /// and reads it a second time.
    pub fn copyable_tokens(&self, part: u64) -> f64 {
        let read = self
            .find(part)
            .filter(|each| each.reading == PrefillProgress::Done);
        read.map_or(0.0, |each| each.tokens)
    }

    fn find(&self, part: u64) -> Option<&CachedPart> {
        self.parts.iter().find(|each| each.part == part)
    }
}
