//! Model of the prompt parts in an engine's KV cache.

use view::PrefillProgress;

/// Fraction of an engine's free memory that is assumed to hold cached parts. The rest goes to short prompts
/// and output, which are not tracked. With 1.1 placement did no better; with 1.4, 50 % more tokens were
/// prefilled twice, because copies were requested of parts that had been evicted.
const USABLE_MEMORY_FRACTION: f64 = 0.85;

/// Shortest part that is tracked, in tokens. Shorter ones are cheaper to prefill again.
pub const MIN_CACHED_TOKENS: u32 = 200;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    part: u64,
    tokens: f64,
    progress: PrefillProgress,
}

/// Parts that an engine is believed to cache, least recently used first.
///
/// Engines evict the least recently used parts without notice, so this is only an estimate. A wrong
/// one costs a longer prefill, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct CachedParts {
    parts: Vec<CachedPart>,
}

impl CachedParts {
    /// Adds a part or marks it as used, then evicts the least recently used ones beyond the usable
    /// part of `free_tokens`. The newest part always stays.
    pub fn add(&mut self, part: u64, tokens: f64, progress: PrefillProgress, free_tokens: f64) {
        let at = self.parts.iter().position(|each| each.part == part);
        let known = at.map(|at| self.parts.remove(at).progress);
        let progress = known.map_or(progress, |known| known.max(progress));
        self.parts.push(CachedPart {
            part,
            tokens,
            progress,
        });
        let mut cached: f64 = self.parts.iter().map(|each| each.tokens).sum();
        let mut evicted = 0;
        while cached > free_tokens * USABLE_MEMORY_FRACTION && evicted + 1 < self.parts.len() {
            cached -= self.parts[evicted].tokens;
            evicted += 1;
        }
        self.parts.drain(..evicted);
    }

    /// Tokens of a part; 0 if it is neither cached nor being prefilled.
    pub fn tokens(&self, part: u64) -> f64 {
        self.find(part).map_or(0.0, |each| each.tokens)
    }

    /// Tokens of a part whose prefill is complete; 0 if it is not.
    ///
    /// A part that is still being prefilled cannot be copied: the engine that requests the copy
    /// would find nothing and prefill it again.
    pub fn copyable_tokens(&self, part: u64) -> f64 {
        let prefilled = self
            .find(part)
            .filter(|each| each.progress == PrefillProgress::Done);
        prefilled.map_or(0.0, |each| each.tokens)
    }

    fn find(&self, part: u64) -> Option<&CachedPart> {
        self.parts.iter().find(|each| each.part == part)
    }
}
