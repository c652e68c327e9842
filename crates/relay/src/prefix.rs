//! Which engines hold the start of a prompt, and which of them another one copies it from.

use std::rc::Rc;

use plan::{EngineView, HealthStatus, KvLink, PrefixHolder, best_copy};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Prompts shorter than this are not copied for, in tokens: the transfer's set-up alone takes as
/// long as reading them.
const MIN_COPY_TOKENS: u32 = 900;

/// What an engine need not read of a prompt.
#[derive(Clone, Default)]
pub struct CachedPrefix {
    /// Tokens that it holds, or will hold once they are copied.
    pub tokens: f64,
    /// Time that the copy takes.
    pub copy_ms: f64,
    /// Engine to copy from.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of shared parts that its memory does not have yet.
    pub uncached_shared_tokens: f64,
}

impl CachedPrefix {
    /// At an engine that gets the whole prompt from another one.
    pub fn whole_prompt(engine: &Upstream, prompt: &Prompt) -> Self {
        Self {
            tokens: f64::from(prompt.input_tokens),
            uncached_shared_tokens: uncached_shared_tokens(engine, prompt),
            ..Self::default()
        }
    }

    /// The engine as a placement of this prompt at a rank sees it.
    pub fn engine_view(&self, engine: &Upstream, now_ms: u64, rank: u8) -> EngineView {
        EngineView {
            copy_ms: self.copy_ms,
            new_tokens: self.uncached_shared_tokens,
            ..engine.view(now_ms, self.tokens, rank)
        }
    }
}

/// The engines that hold something of one prompt's start.
pub struct PrefixHolders {
    link: KvLink,
    now_ms: u64,
    all: Vec<(Rc<Upstream>, f64)>,
}

impl PrefixHolders {
    /// Those among the engines of the request's service that are fit.
    pub fn of(relay: &Relay, call: &Call, prompt: &Prompt) -> Self {
        let now_ms = relay.now_ms();
        let engine = relay.engine_limits(&call.service);
        let link = KvLink {
            token_bytes: engine.token_bytes as f64,
            mbps: engine.link_mbps as f64,
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
            .filter(|each| each.verdict(now_ms) == HealthStatus::Healthy)
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

    /// What an engine need not read: what it holds, or more if a copy is worth it.
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

/// The engine at which requests that share this prompt's first part meet.
pub fn affinity_target<'a>(
    engines: &'a [Rc<Upstream>],
    prompt: &Prompt,
) -> Option<&'a Rc<Upstream>> {
    let part = prompt.parts.first()?;
    engines
        .iter()
        .max_by_key(|engine| xxh3_64_with_seed(engine.id.as_bytes(), part.id))
}

/// Whether an engine holds or is reading the start of a prompt.
pub fn holds_prefix(engine: &Upstream, prompt: &Prompt) -> bool {
    prefix_tokens(prompt, |id| engine.cached_tokens(id)) > 0.0
}

/// Tokens at the start of a prompt, part by part up to the first that is not held.
fn prefix_tokens(prompt: &Prompt, tokens_of: impl Fn(u64) -> f64) -> f64 {
    let held = prompt.parts.iter().map(|part| tokens_of(part.id));
    held.take_while(|&tokens| tokens > 0.0).sum()
}

/// Tokens of the parts that a prompt shares with others and that an engine does not hold.
fn uncached_shared_tokens(engine: &Upstream, prompt: &Prompt) -> f64 {
    let shared = prompt
        .parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let new = shared
        .iter()
        .filter(|part| engine.cached_tokens(part.id) == 0.0);
    new.map(|part| f64::from(part.tokens)).sum()
}
