//! Prefix caching: which engines cache the start of a prompt, and from which one it is best copied.

use std::rc::Rc;

use plan::{EngineView, HealthStatus, KvLink, PrefixHolder, best_copy};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Shortest prompt for which a cached prefix is copied, in tokens. For shorter ones, setting up the
/// transfer alone takes as long as the prefill.
const MIN_COPY_TOKENS: u32 = 900;

/// The prefix of a prompt that an engine does not have to prefill.
#[derive(Clone, Default)]
pub struct CachedPrefix {
    /// Tokens that are cached, or will be after the copy.
    pub tokens: f64,
    /// Duration of the copy, in ms.
    pub copy_ms: f64,
    /// Engine to copy from; empty if nothing is copied.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of shared parts that the engine does not cache yet.
    pub uncached_shared_tokens: f64,
}

impl CachedPrefix {
    /// For an engine to which the KV cache of the whole prompt is transferred.
    pub fn whole_prompt(engine: &Upstream, prompt: &Prompt) -> Self {
        Self {
            tokens: f64::from(prompt.input_tokens),
            uncached_shared_tokens: uncached_shared_tokens(engine, prompt),
            ..Self::default()
        }
    }

    /// Input of the cost model for this prompt at the engine and rank.
    pub fn engine_view(&self, engine: &Upstream, now_ms: u64, rank: u8) -> EngineView {
        EngineView {
            copy_ms: self.copy_ms,
            new_tokens: self.uncached_shared_tokens,
            ..engine.view(now_ms, self.tokens, rank)
        }
    }
}

/// Engines that cache a prefix of a prompt.
pub struct PrefixHolders {
    link: KvLink,
    now_ms: u64,
    all: Vec<(Rc<Upstream>, f64)>,
}

impl PrefixHolders {
    /// Finds them among the healthy engines of the call's service.
    pub fn of(relay: &Relay, call: &Call, prompt: &Prompt) -> Self {
        let now_ms = relay.now_ms();
        let limits = relay.engine_limits(&call.service);
        let link = KvLink {
            token_bytes: limits.token_bytes as f64,
            mbps: limits.link_mbps as f64,
        };
        if prompt.input_tokens < MIN_COPY_TOKENS {
            return Self {
                link,
                now_ms,
                all: Vec::new(),
            };
        }
        let upstreams = relay.upstreams.borrow();
        let all = upstreams
            .ready(&call.service, now_ms)
            .filter(|each| each.health_status(now_ms) == HealthStatus::Healthy)
            .map(|each| {
                (
                    Rc::clone(each),
                    prefix_tokens(prompt, |id| each.copyable_tokens(id)),
                )
            })
            .filter(|(_, tokens)| *tokens > 0.0)
            .collect();
        Self { link, now_ms, all }
    }

    /// The prefix that an engine caches itself, or a longer one if copying it saves time.
    pub fn best_at(&self, engine: &Rc<Upstream>, prompt: &Prompt) -> CachedPrefix {
        let own_tokens = prefix_tokens(prompt, |id| engine.cached_tokens(id));
        let holders = self.all.iter().map(|(holder, tokens)| PrefixHolder {
            tokens: *tokens,
            is_same_zone: holder.zone == engine.zone,
            requests: holder.load(self.now_ms),
        });
        match best_copy(&self.link, own_tokens, holders) {
            Some(copied) => CachedPrefix {
                tokens: copied.tokens,
                copy_ms: copied.transfer_ms,
                copy_from: Some(Rc::clone(&self.all[copied.from].0)),
                uncached_shared_tokens: uncached_shared_tokens(engine, prompt),
            },
            None => CachedPrefix {
                tokens: own_tokens,
                uncached_shared_tokens: uncached_shared_tokens(engine, prompt),
                ..CachedPrefix::default()
            },
        }
    }
}

/// Affinity target: the engine preferred for all prompts with the same first part, by rendezvous hashing.
pub fn affinity_target<'a>(
    engines: &'a [Rc<Upstream>],
    prompt: &Prompt,
) -> Option<&'a Rc<Upstream>> {
    let part = prompt.parts.first()?;
    engines
        .iter()
        .max_by_key(|engine| xxh3_64_with_seed(engine.id.as_bytes(), part.id))
}

/// Whether an engine caches or is prefilling a prefix of a prompt.
pub fn holds_prefix(engine: &Upstream, prompt: &Prompt) -> bool {
    prefix_tokens(prompt, |id| engine.cached_tokens(id)) > 0.0
}

/// Length of a prompt's cached prefix in tokens, up to the first part that is not cached.
fn prefix_tokens(prompt: &Prompt, tokens_of: impl Fn(u64) -> f64) -> f64 {
    let cached = prompt.parts.iter().map(|part| tokens_of(part.id));
    cached.take_while(|&tokens| tokens > 0.0).sum()
}

/// Tokens of the shared parts of a prompt that an engine does not cache. The last part is not shared.
fn uncached_shared_tokens(engine: &Upstream, prompt: &Prompt) -> f64 {
    let shared = prompt
        .parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let uncached = shared
        .iter()
        .filter(|part| engine.cached_tokens(part.id) == 0.0);
    uncached.map(|part| f64::from(part.tokens)).sum()
}
