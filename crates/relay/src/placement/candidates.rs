//! Upstreams that a request may be sent to.

use std::rc::Rc;

use plan::{HealthStatus, ZoneRelation};
use view::InstanceKey;

use crate::call::Call;
use crate::relay::Relay;
use crate::subset::{engine_subset, zone_subset};
use crate::upstream::{Stage, Upstream};
use crate::zone_cost::{relation_to, zones_enabled};

/// The subset of the given engines that this instance uses.
pub(super) fn own_subset(
    relay: &Relay,
    service: &str,
    engines: &[Rc<Upstream>],
) -> Vec<Rc<Upstream>> {
    let own = InstanceKey::of(&relay.settings.borrow().name);
    if zones_enabled(relay, service) {
        let is_own = |engine: &Rc<Upstream>| relation_to(relay, &engine.zone) == ZoneRelation::Own;
        return zone_subset(own, engines, |engine| engine.id.as_str(), is_own);
    }
    engine_subset(own, engines, |engine| engine.id.as_str())
}

/// Upstreams of the call's service in one of the given stages that take requests now, of the version that began its
/// stream if there is one.
fn usable(relay: &Relay, call: &Call, stages: &[Stage]) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    // A separate prefill writes no event of the stream.
    let began_version = call.began_version.get();
    let version = began_version.filter(|_| !stages.contains(&Stage::Prefill));
    let upstreams = relay.upstreams.borrow();
    upstreams
        .ready(&call.service, now_ms)
        .filter(|each| stages.contains(&each.stage()))
        .filter(|each| version.is_none_or(|version| each.version_key == version))
        .filter(|each| !each.is_changing_role(now_ms) && each.rest_left_ms(now_ms) == 0)
        .filter(|each| !each.is_unproven(now_ms) && relay.has_rate_capacity(each))
        .cloned()
        .collect()
}

/// Upstreams of the call's service in one of the given stages that have not been tried: the healthy
/// ones, or all of them if none is healthy.
pub(super) fn candidates(
    relay: &Relay,
    call: &Call,
    tried: &[String],
    stages: &[Stage],
) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let all = usable(relay, call, stages);
    let (mut all, again): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|each| !tried.contains(&each.id));
    // No other version can go on with a stream, so one that broke it off is better than none.
    if all.is_empty() && call.began_version.get().is_some() {
        all = again;
    }
    // A probe may hit an upstream that still fails, so only repeatable requests are used as probes.
    let may_probe = call.route.is_retryable();
    let is_healthy = |each: &&Rc<Upstream>| match each.health_status(now_ms) {
        HealthStatus::Healthy => true,
        HealthStatus::Probe => may_probe,
        HealthStatus::Ejected => false,
    };
    let healthy: Vec<Rc<Upstream>> = all.iter().filter(is_healthy).cloned().collect();
    // A slow answer is better than none.
    if healthy.is_empty() { all } else { healthy }
}

/// The engine with the least to do: one that may end takes its answers along.
pub(super) fn least_loaded(engines: &[Rc<Upstream>], now_ms: u64) -> Vec<Rc<Upstream>> {
    let load = |engine: &&Rc<Upstream>| engine.load(now_ms);
    let least = engines
        .iter()
        .min_by(|one, other| load(one).total_cmp(&load(other)));
    least.into_iter().cloned().collect()
}
