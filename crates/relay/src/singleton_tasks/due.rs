//! Which singleton tasks are due now, according to the instance's knowledge of the fleet.

use std::collections::BTreeMap;

use duty::{ReportAction, UsageReport, UsageReports, UsageWindows};

use super::{Task, is_leader, scaling};
use crate::relay::Relay;

/// The tasks that this instance should perform now, the most urgent first; empty if it does not lead.
pub fn due_tasks(relay: &Relay) -> Vec<Task> {
    let settings = relay.settings.borrow().singleton_tasks;
    let is_leader = is_leader(relay);
    // All instances plan, so that a new leader has the state of earlier windows and orders.
    let usage = settings.usage.and_then(|windows| usage_due(relay, windows));
    let scale = if settings.scales {
        scaling::due_orders(relay, is_leader)
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
