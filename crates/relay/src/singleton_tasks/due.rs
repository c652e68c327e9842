//! Which singleton tasks are due now, according to the instance's knowledge of the fleet.

use std::collections::{BTreeMap, HashMap};

use duty::scale::{self, ZoneCapacity};
use duty::{ReportAction, UsageReport, UsageReports, UsageWindows};

use super::{ScaleOrder, Task, is_leader};
use crate::relay::Relay;

/// The tasks that this instance should perform now, the most urgent first; empty if it does not lead.
pub fn due_tasks(relay: &Relay) -> Vec<Task> {
    let settings = relay.settings.borrow().singleton_tasks;
    let is_leader = is_leader(relay);
    // All instances plan, so that a new leader has the state of earlier windows and orders.
    let usage = settings.usage.and_then(|windows| usage_due(relay, windows));
    let scale = if settings.scales {
        scale_due(relay)
    } else {
        Vec::new()
    };
    if !is_leader {
        return Vec::new();
    }
    usage.into_iter().chain(scale).collect()
}

fn usage_due(relay: &Relay, windows: UsageWindows) -> Option<Task> {
    let tasks = &relay.singleton_tasks;
    let now_ms = tasks.fleet_ms();
    let mut reports = tasks.reports.borrow_mut();
    let reports = reports.get_or_insert_with(|| UsageReports::new(windows, now_ms));
    let has_counts = |window| tasks.ledger.borrow().sum(window).is_some();
    let report = match reports.next_action(now_ms, has_counts)? {
        ReportAction::Send(report) => report,
        ReportAction::Fix(window) => UsageReport {
            window,
            counts: counts(relay, window),
        },
    };
    Some(Task::Usage(report))
}

/// Requests that began in a window, by name of the workspace.
fn counts(relay: &Relay, window: u64) -> BTreeMap<String, u64> {
    let names = relay.singleton_tasks.names.borrow();
    let sum = relay
        .singleton_tasks
        .ledger
        .borrow()
        .sum(window)
        .unwrap_or_default();
    let mut counts = BTreeMap::new();
    for (key, count) in sum {
        match names.get(&key) {
            Some(name) => {
                counts.insert(name.clone(), count);
            }
            None => {
                log::error!(window, count, workspace:? = key; "usage not reported: the workspace's name is unknown");
            }
        }
    }
    counts
}

fn scale_due(relay: &Relay) -> Vec<Task> {
    let Some(config) = relay.config() else {
        return Vec::new();
    };
    let now_ms = relay.now_ms();
    let mut tasks = Vec::new();
    for (service, bounds) in config
        .services()
        .iter()
        .filter_map(|(name, it)| Some((name, it.scale.as_ref()?)))
    {
        let zones = zones(relay, service, bounds);
        let mut all = relay.singleton_tasks.scaling.borrow_mut();
        let scaling = all.entry(service.clone()).or_default();
        let targets = scaling.due_orders(now_ms, bounds, &zones);
        let wanted = scaling.target_size().unwrap_or_default();
        tasks.extend(targets.into_iter().map(|target| {
            Task::Scale(ScaleOrder {
                service: service.clone(),
                wanted,
                target,
            })
        }));
    }
    tasks
}

/// Number of a service's engines in each zone that has a price for them.
fn zones(relay: &Relay, service: &str, bounds: &scale::ScalingBounds) -> Vec<ZoneCapacity> {
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
