//! What a placement adds to demand and metrics.

use plan::{Prediction, work_tokens};

use super::Placement;
use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::shares::record_granted;
use crate::zone_cost::{relation_to, zone_label};

/// Records the prefill demand of a request, once, whether or not it will be served.
///
/// Shared parts are left out: while caches are cold every engine prefills them, and a role split
/// computed from that demand would be wrong as soon as the caches are warm.
pub fn record_demand(relay: &Relay, call: &Call, prompt: &Prompt) {
    // The demand of a request that was placed at a peer before is counted there.
    let is_counted_at_peer = call.is_taken_over.get() && call.is_first_counted.get();
    if is_counted_at_peer || call.is_demand_recorded.replace(true) {
        return;
    }
    let tokens = f64::from(prompt.input_tokens);
    let unshared_tokens = prompt
        .parts
        .last()
        .map_or(tokens, |own| f64::from(own.tokens));
    let now_ms = relay.now_ms();
    let prefill_ms = work_tokens(tokens, tokens - unshared_tokens)
        * relay
            .estimates
            .latency_model(now_ms, &call.service)
            .token_ms();
    relay
        .role_orders
        .record_demand(&call.service, relay.now_ms(), prefill_ms);
}

/// Updates the metrics of a placement: where the prompt is prefilled, how its prefix is cached
/// there, and the predicted wait.
pub(super) fn record_placement(
    relay: &Relay,
    call: &Call,
    placement: &Placement,
    first: &Prediction,
) {
    let (read, engine, is_copied, cached_tokens, prefill_tokens) = match placement {
        Placement::Disaggregated(prefill) => (
            "apart",
            &prefill.engine,
            prefill.copy_from.is_some(),
            prefill.cached_tokens,
            prefill.prefill_tokens,
        ),
        Placement::Colocated(decode) => (
            "whole",
            &decode.engine,
            decode.copy_from.is_some(),
            decode.cached_tokens,
            decode.prefill_tokens,
        ),
    };
    record_granted(relay, call, prefill_tokens, first.wait_ms);
    let held = match (is_copied, cached_tokens > 0.0) {
        (true, _) => "copied",
        (false, true) => "there",
        (false, false) => "nowhere",
    };
    let service = call.service.as_str();
    let placed = relay
        .metrics
        .prompts_placed
        .with_label_values(&[service, read, held]);
    placed.inc();
    let zone = zone_label(relation_to(relay, &engine.zone));
    let zones = &relay.metrics.zones.placements;
    zones.with_label_values(&[service, read, zone]).inc();
    let wait = relay.metrics.predicted_wait_s.with_label_values(&[service]);
    wait.observe(first.wait_ms / 1_000.0);
}
