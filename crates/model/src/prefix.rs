//! Simulates the prefix cache of an engine.

use std::collections::HashMap;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u32,
    last_use: u64,
}

/// Prompt prefixes in the KV cache, with least-recently-used eviction.
#[derive(Debug, Clone)]
pub struct PrefixCache {
    capacity_tokens: u64,
    used_tokens: u64,
    entries: HashMap<u64, Entry>,
    use_count: u64,
}

impl PrefixCache {
    /// Creates an empty cache for at most this many tokens.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            entries: HashMap::new(),
            use_count: 0,
        }
    }

    /// Returns how many tokens of the prefix were cached and need no prefill. A missing prefix is
    /// inserted, unless it is 0 or larger than the cache.
    pub fn lookup_or_insert(&mut self, prefix: u64, tokens: u32) -> u32 {
        if prefix == 0 || u64::from(tokens) > self.capacity_tokens {
            return 0;
        }
        self.use_count += 1;
        let last_use = self.use_count;
        if let Some(entry) = self.entries.get_mut(&prefix) {
            entry.last_use = last_use;
            return entry.tokens.min(tokens);
        }
        while self.used_tokens + u64::from(tokens) > self.capacity_tokens {
            self.evict();
        }
        self.used_tokens += u64::from(tokens);
        self.entries.insert(prefix, Entry { tokens, last_use });
        0
    }

    /// Evicts the least recently used prefixes until at most this many tokens are cached.
    pub fn shrink_to(&mut self, tokens: u64) {
        while self.used_tokens > tokens {
            self.evict();
        }
    }

    /// Number of cached tokens of a prefix; does not update its last use.
    pub fn cached_tokens(&self, prefix: u64) -> u32 {
        self.entries.get(&prefix).map_or(0, |entry| entry.tokens)
    }

    fn evict(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.last_use);
        let Some((&prefix, &entry)) = oldest else {
            return;
        };
        self.entries.remove(&prefix);
        self.used_tokens -= u64::from(entry.tokens);
    }

    /// Empties the cache, as a restart or a role change does.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.used_tokens = 0;
    }
}
