//! Which engine is believed to cache which prompt prefix.

use std::collections::{HashMap, VecDeque};

/// Most prefixes remembered; engines have evicted older ones from their caches anyway.
const MAX_PREFIXES: usize = 4_096;

/// Most engines remembered for each prefix.
const MAX_HOLDERS: usize = 2;

/// Estimate of the engines' prefix caches, from cache events and from the requests sent.
///
/// Events arrive late and with gaps, so this is only a hint. An engine's report of the tokens that
/// it reused corrects it; a wrong hint makes a prefill slower and never an answer wrong.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    /// Engines and cached tokens by prefix, the latest engine last.
    holders: HashMap<u64, Vec<(usize, f64)>>,
    /// Prefixes from the oldest to the newest, for eviction.
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// Records that an engine caches a prefix of this many tokens.
    pub fn record_holder(&mut self, prefix: u64, engine: usize, tokens: f64) {
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
            if self.order.len() > MAX_PREFIXES
                && let Some(oldest) = self.order.pop_front()
            {
                self.holders.remove(&oldest);
            }
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.0 != engine);
        holders.push((engine, tokens));
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
    }

    /// Tokens of a prefix that an engine is believed to cache; 0 if none.
    pub fn cached_tokens(&self, prefix: u64, engine: usize) -> f64 {
        let holders = self.holders.get(&prefix);
        let holder = holders.and_then(|holders| holders.iter().find(|holder| holder.0 == engine));
        holder.map_or(0.0, |holder| holder.1)
    }
}
