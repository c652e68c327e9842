//! Upstreams that a request may be sent to.

use std::rc::Rc;

use plan::{HealthStatus, ZoneRelation};
use queue::{FreePlaces, draw_by_places};
use view::{InstanceKey, VersionKey};

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

/// Engines to choose from for a request that waits for room: the subset of those that have room, or one of these that
/// is drawn while room is scarce; the usual subset if none has room.
///
/// Engines outside the usual subset so take the place of those that are full, and different ones for each instance.
pub(super) fn subset_with_room(
    relay: &Relay,
    service: &str,
    engines: &[Rc<Upstream>],
) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let has_room =
        |each: &&Rc<Upstream>| each.free_places(now_ms) >= 1.0 && !each.is_stalled(now_ms);
    let with_room: Vec<Rc<Upstream>> = engines.iter().filter(has_room).cloned().collect();
    let mut free = FreePlaces::default();
    for engine in engines {
        free.add(engine.free_places(now_ms), engine.slots);
    }
    if with_room.is_empty() {
        own_subset(relay, service, engines)
    } else if free.is_ample() {
        own_subset(relay, service, &with_room)
    } else {
        // Slots of a faster engine become free more often.
        let weight = |it: &Rc<Upstream>| it.free_places(now_ms) / it.time_factor(now_ms);
        let weights: Vec<f64> = with_room.iter().map(weight).collect();
        let drawn = draw_by_places(&weights, rand::random());
        drawn
            .map(|at| Rc::clone(&with_room[at]))
            .into_iter()
            .collect()
    }
}

/// Engines of a service that may decode, those included that rejected a request for lack of capacity and are therefore
/// avoided for a moment. Empty if requests are sent to none, or only because there is no healthy one.
pub fn engines_with_slots(relay: &Relay, service: &str) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let mut engines = usable(relay, service, None, &[Stage::Decode, Stage::Whole]);
    engines.retain(|each| {
        each.is_known_full(now_ms) || each.health_status(now_ms) == HealthStatus::Healthy
    });
    if engines.iter().any(|each| !each.is_stalled(now_ms)) {
        engines.retain(|each| !each.is_stalled(now_ms));
    }
    engines
}

/// Upstreams of a service in one of the given stages that take requests now, of this version if there is one.
fn usable(
    relay: &Relay,
    service: &str,
    version: Option<VersionKey>,
    stages: &[Stage],
) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let upstreams = relay.upstreams.borrow();
    upstreams
        .ready(service, now_ms)
        .filter(|each| stages.contains(&each.stage()))
        .filter(|each| version.is_none_or(|version| each.version_key == version))
        .filter(|each| !each.is_changing_role(now_ms) && each.rest_left_ms(now_ms) == 0)
        .filter(|each| !each.is_unproven(now_ms) && relay.has_rate_capacity(each))
        .cloned()
        .collect()
}

/// Logs the engines of a version that a stream has to go on at, each with what keeps it from that.
fn log_none_of_version(relay: &Relay, call: &Call, version: VersionKey) {
    let now_ms = relay.now_ms();
    if !relay.failure_log_limit.take(now_ms) {
        return;
    }
    let upstreams = relay.upstreams.borrow();
    let of_version = upstreams.of_service(&call.service);
    let states: Vec<String> = of_version
        .filter(|each| each.version_key == version)
        .map(|each| {
            format!(
                "{} {:?} ready={} changing={} rest_ms={} unproven={} health={:?}",
                each.id,
                each.stage(),
                each.is_ready(),
                each.is_changing_role(now_ms),
                each.rest_left_ms(now_ms),
                each.is_unproven(now_ms),
                each.health_status(now_ms),
            )
        })
        .collect();
    log::info!(
        request = call.id(), service = call.service, version = version.0, engines:? = states;
        "no engine of a stream's version can go on with it"
    );
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
    // A separate prefill writes no event of the stream.
    let began_version = call.began_version.get();
    let version = began_version.filter(|_| !stages.contains(&Stage::Prefill));
    let all = usable(relay, &call.service, version, stages);
    let (mut all, again): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|each| !tried.contains(&each.id));
    // No other version can go on with a stream, so one that broke it off is better than none.
    if all.is_empty() && call.began_version.get().is_some() {
        all = again;
    }
    if all.is_empty()
        && let Some(version) = version
    {
        log_none_of_version(relay, call, version);
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
