//! Which upstream a request goes to, from what this instance sees of all.
//!
//! The reckoning itself is in `plan`; here it is fed with the upstreams at hand.

use std::rc::Rc;

use plan::{Verdict, least};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::answer::{Reason, Refused};
use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Prompts with fewer tokens to read are not worth reading apart and moving, in tokens: moving
/// costs a request of its own and some ms of set-up.
const READ_APART_TOKENS: f64 = 900.0;

/// Time of a plain service's answer before any was seen, in ms.
const PLAIN_MS: f64 = 15.0;

/// Time to hand a prompt's KV cache from one engine to another, in ms, as seen with 17,000
/// tokens on links of hundreds of Gbit/s.
const HAND_OVER_MS: f64 = 40.0;

/// Time that a place in a full batch takes to come free, in ms.
const PLACE_MS: f64 = 250.0;

/// Share of an objective beyond which a predicted start is refused: work that is late keeps the
/// engine from work that would be on time, and earns little.
const LATEST_START: f64 = 1.5;

/// Share of the time left that a prediction may use up.
const LEFT_SHARE: f64 = 0.8;

/// Bounds of the time after which a refused caller is asked back, in ms.
const RETRY_MS: (f64, f64) = (80.0, 900.0);

/// Where a generation goes.
#[derive(Clone)]
pub struct Placement {
    /// Engine that reads the prompt, if it is read apart, and the tokens that it has to read.
    pub reader: Option<(Rc<Upstream>, f64)>,
    /// Engine that makes the output.
    pub maker: Rc<Upstream>,
    /// Tokens that the maker has to read.
    pub maker_tokens: f64,
    /// Predicted time to the first event.
    pub first_ms: f64,
}

/// Upstreams of a service that may be tried, the fit ones if there are any.
fn candidates(relay: &Relay, call: &Call, tried: &[String], stages: &[Stage]) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let upstreams = relay.upstreams.borrow();
    let all: Vec<Rc<Upstream>> = upstreams
        .ready(&call.service)
        .filter(|each| stages.contains(&each.stage()) && !tried.contains(&each.id))
        .cloned()
        .collect();
    // A probe may meet a failing upstream, so only what can be repeated is spent on it.
    let may_probe = call.route.is_repeatable();
    let fit = |each: &&Rc<Upstream>| match each.verdict(now_ms) {
        Verdict::Fit => true,
        Verdict::Probe => may_probe,
        Verdict::Ejected => false,
    };
    let fit: Vec<Rc<Upstream>> = all.iter().filter(fit).cloned().collect();
    // A slow answer is better than none: with nobody fit, all are tried.
    if fit.is_empty() { all } else { fit }
}

/// Chooses for a request that generates nothing.
pub fn plain(relay: &Relay, call: &Call, tried: &[String]) -> Result<Rc<Upstream>, Refused> {
    let now_ms = relay.now_ms();
    let all = candidates(relay, call, tried, &[Stage::Whole]);
    let wait_ms = |each: &Rc<Upstream>| {
        let answer_ms = if each.answer_ms() > 0.0 {
            each.answer_ms()
        } else {
            PLAIN_MS
        };
        let load = (each.load(now_ms) + 1.0) / f64::from(each.slots);
        let queue = (load - 1.0).max(0.0) + 0.3 * load;
        2.0 * each.distance_ms + answer_ms * (1.0 + queue)
    };
    let Some((at, time_ms)) = least(all.iter().map(wait_ms)) else {
        return Err(refuse(call, Reason::NoUpstream, RETRY_MS.1 / 3.0));
    };
    let left_ms = call.left_ms(now_ms) as f64;
    if time_ms > left_ms * LEFT_SHARE {
        return Err(refuse(call, Reason::TooLate, time_ms - left_ms * LEFT_SHARE));
    }
    Ok(Rc::clone(&all[at]))
}

/// Chooses for a request that generates text.
pub fn generation(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Placement, Refused> {
    let now_ms = relay.now_ms();
    let makers = candidates(relay, call, tried, &[Stage::Decode, Stage::Whole]);
    if makers.is_empty() {
        return Err(refuse(call, Reason::NoUpstream, RETRY_MS.1 / 3.0));
    }
    let tokens = f64::from(prompt.input_tokens);
    let pace = relay.pace(&call.service);
    let whole_ms = |each: &Rc<Upstream>| {
        let view = each.view(now_ms, kept_tokens(each, prompt));
        pace.decode_ms(&view, tokens, PLACE_MS)
    };
    let alone = least(makers.iter().map(whole_ms));
    let handed_ms = |each: &Rc<Upstream>| {
        let view = each.view(now_ms, tokens);
        pace.decode_ms(&view, tokens, PLACE_MS)
    };
    let handed = least(makers.iter().map(handed_ms));
    let (Some((alone_at, alone_ms)), Some((handed_at, after_ms))) = (alone, handed) else {
        return Err(refuse(call, Reason::NoUpstream, RETRY_MS.1 / 3.0));
    };
    let apart = (tokens >= READ_APART_TOKENS)
        .then(|| reader(relay, call, prompt, tried))
        .flatten();
    let placement = match apart {
        Some((engine, missing, read_ms)) if read_ms + HAND_OVER_MS + after_ms < alone_ms => {
            Placement {
                reader: Some((engine, missing)),
                maker: Rc::clone(&makers[handed_at]),
                maker_tokens: 0.0,
                first_ms: read_ms + HAND_OVER_MS + after_ms,
            }
        }
        _ => {
            let maker = Rc::clone(&makers[alone_at]);
            let maker_tokens = (tokens - kept_tokens(&maker, prompt)).max(0.0);
            Placement {
                reader: None,
                maker,
                maker_tokens,
                first_ms: alone_ms,
            }
        }
    };
    let left_ms = call.left_ms(now_ms) as f64;
    let latest_ms = (call.route.goal_ms as f64 * LATEST_START).min(left_ms * LEFT_SHARE);
    if placement.first_ms > latest_ms {
        return Err(refuse(call, Reason::TooLate, placement.first_ms - latest_ms));
    }
    Ok(placement)
}

/// Chooses the engine that reads a prompt apart: gives it, the tokens it reads, and the time.
fn reader(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
) -> Option<(Rc<Upstream>, f64, f64)> {
    let now_ms = relay.now_ms();
    let tokens = f64::from(prompt.input_tokens);
    let pace = relay.pace(&call.service);
    let all = candidates(relay, call, tried, &[Stage::Prefill]);
    let home = home(&all, prompt).map(|each| each.id.clone());
    let cached = |each: &Rc<Upstream>| {
        if Some(&each.id) == home.as_ref() {
            shared_tokens(prompt)
        } else {
            kept_tokens(each, prompt)
        }
    };
    let read_ms = |each: &Rc<Upstream>| pace.prefill_ms(&each.view(now_ms, cached(each)), tokens);
    let (at, time_ms) = least(all.iter().map(read_ms))?;
    let chosen = Rc::clone(&all[at]);
    let missing = (tokens - cached(&chosen)).max(0.0);
    Some((chosen, missing, time_ms))
}

/// The engine at which requests that share this prompt's first part meet.
fn home<'a>(engines: &'a [Rc<Upstream>], prompt: &Prompt) -> Option<&'a Rc<Upstream>> {
    let part = prompt.parts.first()?;
    engines
        .iter()
        .max_by_key(|engine| xxh3_64_with_seed(engine.id.as_bytes(), part.id))
}

/// Tokens of the parts that other requests may share.
fn shared_tokens(prompt: &Prompt) -> f64 {
    let Some((_own, shared)) = prompt.parts.split_last() else {
        return 0.0;
    };
    shared.iter().map(|part| f64::from(part.tokens)).sum()
}

/// Tokens at the start of the prompt that an engine is believed to hold.
fn kept_tokens(engine: &Upstream, prompt: &Prompt) -> f64 {
    let kept = prompt.parts.iter().map(|part| engine.kept(part.id));
    kept.take_while(|&tokens| tokens > 0.0).sum()
}

/// A refusal, with the time after which a place is expected.
///
/// The time is stretched by up to a half from the request's own draw, so that callers who were
/// refused together do not come back together.
fn refuse(call: &Call, reason: Reason, wait_ms: f64) -> Refused {
    let spread = 1.0 + (call.draw % 512) as f64 / 1_024.0;
    let wait_ms = wait_ms.clamp(RETRY_MS.0, RETRY_MS.1) * spread;
    Refused::later(reason, wait_ms as u64)
}
