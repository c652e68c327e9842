//! Which engine is believed to hold which prompt prefix.

use std::collections::{HashMap, VecDeque};

/// Prefixes remembered; older ones have left the engines' caches anyway.
const REMEMBERED: usize = 4_096;

/// Engines remembered for each prefix.
const ENGINES: usize = 2;

/// Belief about prefixes, from cache events and from what was sent.
///
/// Events come late and with gaps, so this is a hint: the engine's own word on what it reused
/// corrects it, and a wrong hint costs a slower prompt, never a wrong answer.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    holders: HashMap<u64, Vec<(usize, f64)>>,
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// An engine is believed to hold a prefix of so many tokens.
    pub fn record_holder(&mut self, prefix: u64, engine: usize, tokens: f64) {
        if !self.holders.contains_key(&prefix) {
            self.order.push_back(prefix);
            if self.order.len() > REMEMBERED
                && let Some(oldest) = self.order.pop_front()
            {
                self.holders.remove(&oldest);
            }
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| holder.0 != engine);
        holders.push((engine, tokens));
        if holders.len() > ENGINES {
            holders.remove(0);
        }
    }

    /// Tokens of a prefix that an engine is believed to hold.
    pub fn cached_tokens(&self, prefix: u64, engine: usize) -> f64 {
        let holders = self.holders.get(&prefix);
        let holder = holders.and_then(|holders| holders.iter().find(|holder| holder.0 == engine));
        holder.map_or(0.0, |holder| holder.1)
    }
}
