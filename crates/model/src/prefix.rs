//! Prompt prefixes whose KV cache an engine still holds.

use std::collections::HashMap;

#[derive(Debug, Clone, Copy)]
struct Held {
    tokens: u32,
    used: u64,
}

/// Least recently used prefixes within a limited memory.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    room_tokens: u64,
    held_tokens: u64,
    held: HashMap<u64, Held>,
    clock: u64,
}

impl PrefixCache {
    /// An empty cache.
    pub fn new(room_tokens: u64) -> Self {
        Self {
            room_tokens,
            held_tokens: 0,
            held: HashMap::new(),
            clock: 0,
        }
    }

    /// Tokens of a prefix that need not be read again; afterwards the prefix is held.
    pub fn lookup_or_insert(&mut self, prefix: u64, tokens: u32) -> u32 {
        if prefix == 0 || u64::from(tokens) > self.room_tokens {
            return 0;
        }
        self.clock += 1;
        let used = self.clock;
        if let Some(held) = self.held.get_mut(&prefix) {
            held.used = used;
            return held.tokens.min(tokens);
        }
        while self.held_tokens + u64::from(tokens) > self.room_tokens {
            self.evict();
        }
        self.held_tokens += u64::from(tokens);
        self.held.insert(prefix, Held { tokens, used });
        0
    }

    /// Tokens of a prefix that are held, without using them.
    pub fn cached_tokens(&self, prefix: u64) -> u32 {
        self.held.get(&prefix).map_or(0, |held| held.tokens)
    }

    fn evict(&mut self) {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.used);
        let Some((&prefix, &held)) = oldest else {
            return;
        };
        self.held.remove(&prefix);
        self.held_tokens -= u64::from(held.tokens);
    }

    /// Forgets everything, as a restart or a role change does.
    pub fn clear(&mut self) {
        self.held.clear();
        self.held_tokens = 0;
    }
}
