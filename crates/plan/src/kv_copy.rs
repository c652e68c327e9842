//! Whether an engine copies the start of a prompt from another engine instead of reading it.
//!
//! Load pattern: a rush brings more requests that share a part of 13,000 tokens than the engine
//! that holds it can read the rest of in time. Reading the part at a second engine takes that one
//! a quarter of a second, in which nothing else is read there; copying it takes some ms of a link.
//! So a held part is read once. Whether it is worth the memory that it takes at one more engine is
//! weighed where the engine is chosen, in `placement`.

/// Time to set a transfer up, in ms: the users' engines are described with 4, and a round trip.
const SET_UP_MS: f64 = 5.0;

/// How much longer a transfer between availability zones takes, as the users' engines do it.
const ACROSS_ZONES: f64 = 2.0;

/// Tokens below which a copy is not worth a transfer: reading as many takes about as long as
/// setting the transfer up.
const LEAST_TOKENS: f64 = 500.0;

/// What a transfer between engines of one service costs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KvLink {
    /// Size of a token's KV cache.
    pub token_bytes: f64,
    /// Speed of an engine's link.
    pub mbps: f64,
}

impl KvLink {
    /// Time to move the KV cache of some tokens.
    pub fn transfer_ms(&self, tokens: f64, is_same_zone: bool) -> f64 {
        let bits = tokens * self.token_bytes * 8.0;
        let move_ms = bits / (self.mbps.max(1.0) * 1_000.0);
        SET_UP_MS + move_ms * if is_same_zone { 1.0 } else { ACROSS_ZONES }
    }

    /// Whether the engines of the service can copy from each other.
    fn is_known(&self) -> bool {
        self.token_bytes > 0.0 && self.mbps > 0.0
    }
}

/// An engine that holds the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixHolder {
    /// Tokens of the prompt that it is believed to hold.
    pub tokens: f64,
    /// Whether it is in the zone of the engine that would copy.
    pub is_same_zone: bool,
    /// Requests that it has.
    pub requests: f64,
}

/// A copy that is worth its transfer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCopy {
    /// Index of the engine to copy from.
    pub from: usize,
    /// Tokens of the prompt that are held after it.
    pub tokens: f64,
    /// Time that it takes.
    pub transfer_ms: f64,
}

/// The copy with which an engine that holds `own_tokens` of a prompt has most of it to read no
/// more; among equal ones the nearest, then the one with the least to do.
pub fn best_copy(
    link: &KvLink,
    own_tokens: f64,
    holders: impl Iterator<Item = PrefixHolder>,
) -> Option<KvCopy> {
    if !link.is_known() {
        return None;
    }
    let (from, holder) = holders
        .enumerate()
        .filter(|(_, holder)| holder.tokens >= own_tokens + LEAST_TOKENS)
        .max_by(|(_, a), (_, b)| {
            let by_tokens = a.tokens.total_cmp(&b.tokens);
            let by_zone = a.is_same_zone.cmp(&b.is_same_zone);
            let by_load = b.requests.total_cmp(&a.requests);
            by_tokens.then(by_zone).then(by_load)
        })?;
    Some(KvCopy {
        from,
        tokens: holder.tokens,
        transfer_ms: link.transfer_ms(holder.tokens - own_tokens, holder.is_same_zone),
    })
}
