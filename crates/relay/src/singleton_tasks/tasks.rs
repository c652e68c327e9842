//! One singleton task: its record in the log, its call to the platform and the outcome.

use duty::scale::{self, ZoneTarget};
use duty::{UsageReport, UsageReports};
use lease::SendPermit;
use serde::{Deserialize, Serialize};

use super::{MAX_FAILED_CALLS, YIELD_MS, scaling};
use crate::relay::Relay;

/// Windows whose records the log keeps; a new record replaces that of the window which is this many earlier.
const WINDOWS_KEPT: u64 = 16;

/// A task's record in the log, appended before its call is made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Random number of the process that appended the record and may make the call.
    pub holder: u64,
    /// Name of its instance, for operators.
    pub instance: String,
    /// The task.
    #[serde(rename = "act")]
    pub task: Task,
}

/// A singleton task with the content of its call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Task {
    /// Reports the requests of each workspace in a window.
    Usage(UsageReport),
    /// Orders a number of engines for a zone.
    Scale(ScaleOrder),
}

/// An order of engines for a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOrder {
    /// Service of the engines.
    pub service: String,
    /// Target number of the service's engines in all zones.
    pub wanted: usize,
    /// Number of the service's engines at the fleet's start, if the target follows demand; `wanted`
    /// otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub starting: Option<usize>,
    /// Target for the zone.
    #[serde(rename = "wish")]
    pub target: ZoneTarget,
}

/// Outcome of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The platform accepted it.
    Accepted,
    /// The zone has no capacity of that kind now.
    NoneToBeHad,
    /// The platform refused it.
    Refused {
        /// Reason given by the platform.
        why: String,
    },
    /// No answer came, so the platform may have accepted it.
    Unanswered {
        /// Cause of the failure.
        why: String,
    },
}

impl Task {
    /// Key of the record in the log; a record replaces an earlier one with the same key.
    pub fn key(&self) -> String {
        match self {
            Self::Usage(report) => format!("usage/{}", report.window % WINDOWS_KEPT),
            Self::Scale(order) => {
                let kind = match order.target.kind {
                    scale::CapacityKind::OnDemand => "on-demand",
                    scale::CapacityKind::Spot => "spot",
                };
                format!("scale/{}/{}/{kind}", order.service, order.target.zone)
            }
        }
    }
}

/// The record of a task that this instance is to perform.
pub fn task_record(relay: &Relay, task: &Task) -> TaskRecord {
    TaskRecord {
        holder: relay.singleton_tasks.append_lease.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        task: task.clone(),
    }
}

/// Applies a record that this instance appended. Its content is fixed from now on, even if the call fails.
pub fn task_logged(relay: &Relay, record: TaskRecord, permit: SendPermit) {
    relay.singleton_tasks.last_fence.set(permit.fence);
    apply_record(relay, record);
}

/// Applies a record read from the log.
pub fn apply_record(relay: &Relay, record: TaskRecord) {
    let tasks = &relay.singleton_tasks;
    let is_own = record.holder == tasks.append_lease.borrow().holder();
    match record.task {
        Task::Usage(report) => {
            if let Some(reports) = tasks.reports.borrow_mut().as_mut() {
                reports.record_fixed(report, is_own);
            }
        }
        Task::Scale(order) if !is_own => {
            let mut all = tasks.scaling.borrow_mut();
            let scaling = scaling::planner(relay, &mut all, &order.service);
            match order.starting {
                Some(starting) => scaling.adopt_following(order.wanted, starting, &order.target),
                None => scaling.adopt(order.wanted, &order.target),
            }
        }
        Task::Scale(_) => {}
    }
}

/// Records the outcome of a call made with the fencing token `fence`.
pub fn task_finished(relay: &Relay, task: &Task, fence: u64, outcome: &Outcome) {
    let tasks = &relay.singleton_tasks;
    let was_answered = !matches!(outcome, Outcome::Unanswered { .. });
    let failed = if was_answered {
        0
    } else {
        tasks.failed_calls.get() + 1
    };
    tasks.failed_calls.set(failed);
    if failed >= MAX_FAILED_CALLS {
        // Another candidate may reach the API although this instance does not.
        tasks.failed_calls.set(0);
        tasks.yields_until_ms.set(relay.now_ms() + YIELD_MS);
    }
    let (call, label) = match task {
        Task::Usage(report) => {
            record_usage(relay, report, fence, outcome);
            ("usage", outcome.label())
        }
        Task::Scale(order) => {
            record_scale(relay, order, fence, outcome);
            ("scale", outcome.label())
        }
    };
    relay
        .metrics
        .singleton_calls
        .with_label_values(&[call, label])
        .inc();
}

fn record_usage(relay: &Relay, report: &UsageReport, fence: u64, outcome: &Outcome) {
    let tasks = &relay.singleton_tasks;
    let now_ms = tasks.fleet_ms();
    if let Some(reports) = tasks.reports.borrow_mut().as_mut() {
        reports.record_sent(now_ms, report.window, *outcome == Outcome::Accepted);
    }
    let requests: u64 = report.counts.values().sum();
    log::info!(
        window = report.window, requests, workspaces = report.counts.len(), fence, outcome:?;
        "usage reported"
    );
}

fn record_scale(relay: &Relay, order: &ScaleOrder, fence: u64, outcome: &Outcome) {
    let order_outcome = match outcome {
        Outcome::Accepted => scale::OrderOutcome::Taken,
        Outcome::NoneToBeHad => scale::OrderOutcome::Dry,
        Outcome::Refused { .. } => scale::OrderOutcome::Refused,
        Outcome::Unanswered { .. } => scale::OrderOutcome::Unanswered,
    };
    let mut all = relay.singleton_tasks.scaling.borrow_mut();
    if let Some(scaling) = all.get_mut(&order.service) {
        scaling.record_order(relay.now_ms(), &order.target, order_outcome);
    }
    log::info!(
        service = order.service, zone = order.target.zone, kind:? = order.target.kind, desired = order.target.desired,
        wanted = order.wanted, fence, outcome:?;
        "engines ordered"
    );
}

impl Outcome {
    /// Label in metrics.
    fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NoneToBeHad => "none_to_be_had",
            Self::Refused { .. } => "refused",
            Self::Unanswered { .. } => "unanswered",
        }
    }
}

/// Handles a store that may have lost the latest records: the counts of windows that have ended are not fixed
/// a second time.
pub fn log_was_lost(relay: &Relay) {
    let now_ms = relay.singleton_tasks.fleet_ms();
    if let Some(reports) = relay.singleton_tasks.reports.borrow_mut().as_mut() {
        UsageReports::log_was_lost(reports, now_ms);
    }
}
