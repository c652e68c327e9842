//! One call for the fleet: what stands in the log before it is made, and what came of it.

use duty::scale::{self, ZoneTarget};
use duty::{UsageReport, UsageReports};
use lease::SendPermit;
use serde::{Deserialize, Serialize};

use super::{FAILED_CALLS, YIELD_MS};
use crate::relay::Relay;

/// Windows whose records stay in the log; each takes the place of one of so many before.
const WINDOWS_KEPT: u64 = 16;

/// A call as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Life of the process that may make it.
    pub holder: u64,
    /// Name of its instance, for people.
    pub instance: String,
    /// What is called for.
    #[serde(rename = "act")]
    pub task: Task,
}

/// What one call says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Task {
    /// What ran for whom in a window.
    Usage(UsageReport),
    /// Engines that a zone is to have.
    Scale(ScaleOrder),
}

/// Engines that a zone is to have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScaleOrder {
    /// Their service.
    pub service: String,
    /// Engines that the service is to have in all zones.
    pub wanted: usize,
    /// The order.
    #[serde(rename = "wish")]
    pub target: ZoneTarget,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted.
    Accepted,
    /// There are no engines of that kind to be had now.
    NoneToBeHad,
    /// It was refused.
    Refused {
        /// Why.
        why: String,
    },
    /// No answer came.
    Unanswered {
        /// What happened.
        why: String,
    },
}

impl Task {
    /// Key under which it stands in the log.
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

/// The record of a call that this instance is to make.
pub fn task_record(relay: &Relay, act: &Task) -> TaskRecord {
    TaskRecord {
        holder: relay.singleton_tasks.append_lease.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        task: act.clone(),
    }
}

/// A record of this instance stands in the log: what it says is fixed from now on, whether it is heard or not.
pub fn task_logged(relay: &Relay, record: TaskRecord, ticket: SendPermit) {
    relay.singleton_tasks.last_fence.set(ticket.fence);
    apply_record(relay, record);
}

/// Takes in a record of the log.
pub fn apply_record(relay: &Relay, record: TaskRecord) {
    let duties = &relay.singleton_tasks;
    let is_own = record.holder == duties.append_lease.borrow().holder();
    match record.task {
        Task::Usage(report) => {
            if let Some(reports) = duties.reports.borrow_mut().as_mut() {
                reports.record_fixed(report, is_own);
            }
        }
        Task::Scale(order) if !is_own => {
            let mut all = duties.scaling.borrow_mut();
            let scaling = all.entry(order.service).or_default();
            scaling.adopt(order.wanted, &order.target);
        }
        Task::Scale(_) => {}
    }
}

/// A call was made under a token.
pub fn task_finished(relay: &Relay, act: &Task, fence: u64, outcome: &Outcome) {
    let duties = &relay.singleton_tasks;
    let was_heard = !matches!(outcome, Outcome::Unanswered { .. });
    let failed = if was_heard {
        0
    } else {
        duties.failed_calls.get() + 1
    };
    duties.failed_calls.set(failed);
    if failed >= FAILED_CALLS {
        // Another keeper may reach the API where this one does not.
        duties.failed_calls.set(0);
        duties.yields_until_ms.set(relay.now_ms() + YIELD_MS);
    }
    let (call, label) = match act {
        Task::Usage(report) => {
            note_usage(relay, report, fence, outcome);
            ("usage", outcome.label())
        }
        Task::Scale(order) => {
            note_scale(relay, order, fence, outcome);
            ("scale", outcome.label())
        }
    };
    relay
        .metrics
        .singleton_calls
        .with_label_values(&[call, label])
        .inc();
}

fn note_usage(relay: &Relay, report: &UsageReport, fence: u64, outcome: &Outcome) {
    let duties = &relay.singleton_tasks;
    let now_ms = duties.fleet_ms();
    if let Some(reports) = duties.reports.borrow_mut().as_mut() {
        reports.record_sent(now_ms, report.window, *outcome == Outcome::Accepted);
    }
    let requests: u64 = report.counts.values().sum();
    log::info!(
        window = report.window, requests, workspaces = report.counts.len(), fence, outcome:?;
        "usage reported"
    );
}

fn note_scale(relay: &Relay, order: &ScaleOrder, fence: u64, outcome: &Outcome) {
    let came = match outcome {
        Outcome::Accepted => scale::OrderOutcome::Taken,
        Outcome::NoneToBeHad => scale::OrderOutcome::Dry,
        Outcome::Refused { .. } => scale::OrderOutcome::Refused,
        Outcome::Unanswered { .. } => scale::OrderOutcome::Unanswered,
    };
    let mut all = relay.singleton_tasks.scaling.borrow_mut();
    if let Some(scaling) = all.get_mut(&order.service) {
        scaling.record_order(relay.now_ms(), &order.target, came);
    }
    log::info!(
        service = order.service, zone = order.target.zone, kind:? = order.target.kind, desired = order.target.desired,
        wanted = order.wanted, fence, outcome:?;
        "engines ordered"
    );
}

impl Outcome {
    fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::NoneToBeHad => "none_to_be_had",
            Self::Refused { .. } => "refused",
            Self::Unanswered { .. } => "unanswered",
        }
    }
}

/// The log may have lost what was written last.
pub fn log_was_lost(relay: &Relay) {
    let now_ms = relay.singleton_tasks.fleet_ms();
    if let Some(reports) = relay.singleton_tasks.reports.borrow_mut().as_mut() {
        UsageReports::log_was_lost(reports, now_ms);
    }
}
