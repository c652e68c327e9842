//! Shares of engine time: what requests ask for and are granted, and which are refused at once.
//!
//! The rules are in `plan::shares`. See docs/design/shares.md.

use plan::work_tokens;
use rand::Rng;
use view::{ShareKey, WorkspaceKey};

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::config::Workspace;
use crate::dialect::Prompt;
use crate::placement::{SLOT_TURNOVER_MS, jitter};
use crate::relay::Relay;
use crate::share_state::NO_WORKSPACE;

/// Fraction by which a workspace exceeds its share of engine time; 0 below it, and while room is not
/// short at any service.
pub fn share_excess(relay: &Relay, workspace: &Workspace) -> f64 {
    if !relay.shares_engine_time() {
        return 0.0;
    }
    relay.update_shares();
    if !relay.shares.is_any_short() {
        return 0.0;
    }
    relay.shares.excess(WorkspaceKey::of(&workspace.name))
}

/// Records what a generation asks for, and refuses it if its workspace requests more than its share
/// while no engine has a free slot.
pub fn admit(relay: &Relay, call: &Call) -> Result<(), Refusal> {
    let Some(prompt) = call.head.prompt.as_ref() else {
        return Ok(());
    };
    // A request that a peer handed over was counted and admitted there.
    if !relay.shares_engine_time() || call.is_taken_over.get() {
        return Ok(());
    }
    let key = share_key(call);
    let asked_ms = asked_ms(relay, call, prompt);
    if call.share_asked_ms.replace(Some(asked_ms)).is_none() {
        let fleet_ms = relay.singleton_tasks.fleet_ms();
        relay.shares.record(fleet_ms, key, asked_ms, 0.0);
    }
    // A part of the answer to a stream that is taken up has been paid for.
    if call.head.last_event.is_some() {
        return Ok(());
    }
    relay.update_shares();
    let draw = rand::rng().random();
    match relay.shares.hold_back(&call.service, key, draw) {
        Some(wait_ms) => Err(Refusal::with_retry_after(
            Reason::OverShare,
            (wait_ms * jitter(call)) as u64,
        )),
        None => Ok(()),
    }
}

/// Records the engine time of a generation that was placed, once for each; `wait_ms` is its predicted wait.
pub fn record_granted(relay: &Relay, call: &Call, prefill_tokens: f64, wait_ms: f64) {
    let Some(asked_ms) = call.share_asked_ms.get() else {
        return;
    };
    let now_ms = relay.now_ms();
    let goal_ms = call.route.goal_ms as f64;
    let shares = &relay.shares;
    shares.observe_wait(now_ms, &call.service, wait_ms, goal_ms);
    if call.share_granted.replace(true) {
        return;
    }
    let model = relay.estimates.latency_model(now_ms, &call.service);
    let granted_ms = prefill_tokens * model.token_ms() + call.share_decode_ms.get();
    // What was asked for is a lower bound: it assumes that shared parts of the prompt are cached.
    let more_ms = (granted_ms - asked_ms).max(0.0);
    let fleet_ms = relay.singleton_tasks.fleet_ms();
    shares.record(fleet_ms, share_key(call), more_ms, granted_ms);
}

fn share_key(call: &Call) -> ShareKey {
    let workspace = call.workspace.as_ref();
    let name = workspace.map_or(NO_WORKSPACE, |workspace| &workspace.name);
    ShareKey {
        workspace: WorkspaceKey::of(name),
        rank: call.priority(),
    }
}

/// Engine time that a generation needs at least.
fn asked_ms(relay: &Relay, call: &Call, prompt: &Prompt) -> f64 {
    let tokens = f64::from(prompt.input_tokens);
    let own_part = prompt.parts.last();
    let unshared_tokens = own_part.map_or(tokens, |own| f64::from(own.tokens));
    let model = relay.estimates.latency_model(relay.now_ms(), &call.service);
    let prefill_ms = work_tokens(tokens, tokens - unshared_tokens) * model.token_ms();
    if call.share_asked_ms.get().is_none() {
        let hint = prompt.output_hint_tokens.unwrap_or(prompt.output_tokens);
        let output = f64::from(hint.min(prompt.output_tokens));
        let relative = relay.shares.relative_output(&call.service, output);
        let slots = f64::from(relay.engine_limits(&call.service).slots.max(1));
        call.share_decode_ms
            .set(SLOT_TURNOVER_MS / slots * relative);
    }
    prefill_ms + call.share_decode_ms.get()
}
