//! Orders for engines: what the fleet demands, and how many each zone should have.

use std::collections::HashMap;

use duty::scale::{ScalePlanner, ScalingBounds, SizePlan, SizeReason, ZoneCapacity};
use view::ServiceDemand;

use super::{ScaleOrder, Task};
use crate::relay::Relay;

/// The planner of a service. It follows demand unless that part of scheduling is turned off.
pub fn planner<'a>(
    relay: &Relay,
    all: &'a mut HashMap<String, ScalePlanner>,
    service: &str,
) -> &'a mut ScalePlanner {
    let follows_demand = relay.settings.borrow().scheduling.scaling.is_auto();
    all.entry(service.to_owned()).or_insert_with(|| {
        if follows_demand {
            ScalePlanner::following_demand()
        } else {
            ScalePlanner::default()
        }
    })
}

/// The orders that are due by what this instance knows. All instances plan, so that a new leader
/// has observed demand; only the leader's plan is logged.
pub fn due_orders(relay: &Relay, is_leader: bool) -> Vec<Task> {
    let Some(config) = relay.config() else {
        return Vec::new();
    };
    let now_ms = relay.now_ms();
    let is_store_away = relay.singleton_tasks.store_health.is_unavailable(now_ms);
    let demand = fleet_demand(relay, now_ms);
    let mut tasks = Vec::new();
    for (service, bounds) in config
        .services()
        .iter()
        .filter_map(|(name, it)| Some((name, it.scale.as_ref()?)))
    {
        let zones = zones(relay, service, bounds);
        let mut all = relay.singleton_tasks.scaling.borrow_mut();
        let scaling = planner(relay, &mut all, service);
        let own = demand.iter().find(|each| each.service == *service);
        scaling.observe_demand(now_ms, bounds, own, is_store_away);
        let before = scaling.last_plan();
        let targets = scaling.due_orders(now_ms, bounds, &zones);
        if let Some(plan) = scaling.last_plan() {
            report(relay, service, before, &plan, &zones, is_leader);
        }
        let wanted = scaling.target_size().unwrap_or_default();
        let starting = scaling.starting_size();
        tasks.extend(targets.into_iter().map(|target| {
            Task::Scale(ScaleOrder {
                service: service.clone(),
                wanted,
                starting,
                target,
            })
        }));
    }
    tasks
}

/// Demand of all callers: those of this instance, and those of its peers as gossip tells.
fn fleet_demand(relay: &Relay, now_ms: u64) -> Vec<ServiceDemand> {
    let mut sum = relay.gossip.borrow().demand();
    view::demand::add(&mut sum, &relay.role_orders.demand(now_ms));
    sum
}

fn report(
    relay: &Relay,
    service: &str,
    before: Option<SizePlan>,
    plan: &SizePlan,
    zones: &[ZoneCapacity],
    is_leader: bool,
) {
    let forecast = plan.forecast.unwrap_or_default();
    let serving: usize = zones.iter().map(|zone| zone.on_demand + zone.spot).sum();
    let metrics = &relay.metrics.scaling;
    for (figure, engines) in [
        ("forecast_prefill", forecast.prefill),
        ("forecast_decode", forecast.decode),
        ("target", plan.size as f64),
        ("serving", serving as f64),
    ] {
        let gauge = metrics.engines.with_label_values(&[service, figure]);
        gauge.set(engines);
    }
    for reason in SizeReason::ALL {
        let gauge = metrics.reason.with_label_values(&[service, reason.label()]);
        gauge.set(i64::from(reason == plan.reason));
    }
    let is_new =
        before.is_none_or(|before| (before.size, before.reason) != (plan.size, plan.reason));
    if is_leader && is_new {
        log::info!(
            service, target_size = plan.size, reason = plan.reason.label(), serving,
            is_demand_known = plan.forecast.is_some(), prefill = forecast.prefill, decode = forecast.decode;
            "fleet size planned"
        );
    }
}

/// Number of a service's engines in each zone that has a price for them.
fn zones(relay: &Relay, service: &str, bounds: &ScalingBounds) -> Vec<ZoneCapacity> {
    let mut names: Vec<&String> = bounds.zone_prices.keys().collect();
    names.sort_unstable();
    let mut zones: HashMap<&str, ZoneCapacity> = HashMap::new();
    let upstreams = relay.upstreams.borrow();
    for upstream in upstreams.iter().filter(|each| each.service == service) {
        let zone = zones.entry(&upstream.zone).or_default();
        match (upstream.is_spot, upstream.is_ready()) {
            (true, true) => zone.spot += 1,
            (true, false) => zone.spot_reclaimed += 1,
            (false, true) => zone.on_demand += 1,
            (false, false) => {}
        }
    }
    let all = names.into_iter().map(|name| ZoneCapacity {
        name: name.clone(),
        ..zones.remove(name.as_str()).unwrap_or_default()
    });
    all.collect()
}
