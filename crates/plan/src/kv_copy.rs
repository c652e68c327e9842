//! Whether an engine copies the KV cache of a prompt prefix from another engine instead of
//! computing it.
//!
//! A burst of requests can share a prefix of 13,000 tokens and exceed what the engine that caches
//! it can prefill in time, even though only their remainders are left to prefill. Prefilling the
//! prefix on a second engine occupies that engine for a quarter of a second; copying it occupies a
//! link for a few milliseconds. So a cached prefix is prefilled only once. `placement` weighs
//! whether the prefix is worth the memory that it takes on a further engine.

/// Time to set up a transfer, in ms: 4 ms by the engines' data sheets, and a round trip.
const TRANSFER_SETUP_MS: f64 = 5.0;

/// Factor by which a transfer between availability zones is slower than one within a zone.
const CROSS_ZONE_FACTOR: f64 = 2.0;

/// Fewest additional tokens for which a copy is worthwhile: prefilling fewer takes about as long
/// as setting up the transfer.
const MIN_COPY_TOKENS: f64 = 500.0;

/// Parameters that determine the time of a transfer between engines of one service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct KvLink {
    /// KV cache size of one token, in bytes; 0 if the engines cannot copy.
    pub token_bytes: f64,
    /// Bandwidth of an engine's link, in Mbit/s; 0 if the engines cannot copy.
    pub mbps: f64,
}

impl KvLink {
    /// Time to transfer the KV cache of this many tokens.
    pub fn transfer_ms(&self, tokens: f64, is_same_zone: bool) -> f64 {
        let bits = tokens * self.token_bytes * 8.0;
        let move_ms = bits / (self.mbps.max(1.0) * 1_000.0);
        TRANSFER_SETUP_MS + move_ms * if is_same_zone { 1.0 } else { CROSS_ZONE_FACTOR }
    }

    /// Whether the engines of the service can copy from each other.
    fn is_available(&self) -> bool {
        self.token_bytes > 0.0 && self.mbps > 0.0
    }
}

/// An engine that caches the start of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefixHolder {
    /// Tokens of the prompt that it is believed to cache.
    pub tokens: f64,
    /// Whether it is in the zone of the engine that would copy.
    pub is_same_zone: bool,
    /// Requests that it has, waiting or running.
    pub requests: f64,
}

/// A copy that is worth its transfer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCopy {
    /// Index of the holder to copy from.
    pub from: usize,
    /// Tokens of the prompt that the engine caches after the copy.
    pub tokens: f64,
    /// Predicted time of the transfer.
    pub transfer_ms: f64,
}

/// The copy that leaves an engine which caches `own_tokens` of a prompt the fewest tokens to
/// prefill, if any copy is worthwhile.
///
/// Among equal copies it prefers a holder in the same zone, then the one with the fewest requests.
pub fn best_copy(
    link: &KvLink,
    own_tokens: f64,
    holders: impl Iterator<Item = PrefixHolder>,
) -> Option<KvCopy> {
    if !link.is_available() {
        return None;
    }
    let (from, holder) = holders
        .enumerate()
        .filter(|(_, holder)| holder.tokens >= own_tokens + MIN_COPY_TOKENS)
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
