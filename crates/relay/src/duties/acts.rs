//! One call for the fleet: what stands in the log before it is made, and what came of it.

use duty::scale::{self, Wish};
use duty::{Report, Reports};
use lease::Ticket;
use serde::{Deserialize, Serialize};

use super::{FAILED_CALLS, YIELD_MS};
use crate::relay::Relay;

/// Windows whose records stay in the log; each takes the place of one of so many before.
const WINDOWS_KEPT: u64 = 16;

/// A call as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    /// Life of the process that may make it.
    pub holder: u64,
    /// Name of its instance, for people.
    pub instance: String,
    /// What is called for.
    pub act: Act,
}

/// What one call says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
    /// What ran for whom in a window.
    Usage(Report),
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
    pub wish: Wish,
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

impl Act {
    /// Key under which it stands in the log.
    pub fn key(&self) -> String {
        match self {
            Self::Usage(report) => format!("usage/{}", report.window % WINDOWS_KEPT),
            Self::Scale(order) => {
                let kind = match order.wish.kind {
                    scale::Kind::OnDemand => "on-demand",
                    scale::Kind::Spot => "spot",
                };
                format!("scale/{}/{}/{kind}", order.service, order.wish.zone)
            }
        }
    }
}

/// The record of a call that this instance is to make.
pub fn record(relay: &Relay, act: &Act) -> DutyRecord {
    DutyRecord {
        holder: relay.duties.turns.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        act: act.clone(),
    }
}

/// A record of this instance stands in the log: what it says is fixed from now on, whether it is heard or not.
pub fn begin(relay: &Relay, record: DutyRecord, ticket: Ticket) {
    relay.duties.last_fence.set(ticket.fence);
    take_record(relay, record);
}

/// Takes in a record of the log.
pub fn take_record(relay: &Relay, record: DutyRecord) {
    let duties = &relay.duties;
    let is_own = record.holder == duties.turns.borrow().holder();
    match record.act {
        Act::Usage(report) => {
            if let Some(reports) = duties.reports.borrow_mut().as_mut() {
                reports.fixed(report, is_own);
            }
        }
        Act::Scale(order) if !is_own => {
            let mut all = duties.scaling.borrow_mut();
            let scaling = all.entry(order.service).or_default();
            scaling.adopt(order.wanted, &order.wish);
        }
        Act::Scale(_) => {}
    }
}

/// A call was made under a token.
pub fn done(relay: &Relay, act: &Act, fence: u64, outcome: &Outcome) {
    let duties = &relay.duties;
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
        Act::Usage(report) => {
            note_usage(relay, report, fence, outcome);
            ("usage", outcome.label())
        }
        Act::Scale(order) => {
            note_scale(relay, order, fence, outcome);
            ("scale", outcome.label())
        }
    };
    relay.metrics.duties.with_label_values(&[call, label]).inc();
}

fn note_usage(relay: &Relay, report: &Report, fence: u64, outcome: &Outcome) {
    let duties = &relay.duties;
    let now_ms = duties.fleet_ms();
    if let Some(reports) = duties.reports.borrow_mut().as_mut() {
        reports.sent(now_ms, report.window, *outcome == Outcome::Accepted);
    }
    let requests: u64 = report.counts.values().sum();
    log::info!(
        window = report.window, requests, workspaces = report.counts.len(), fence, outcome:?;
        "usage reported"
    );
}

fn note_scale(relay: &Relay, order: &ScaleOrder, fence: u64, outcome: &Outcome) {
    let came = match outcome {
        Outcome::Accepted => scale::Outcome::Taken,
        Outcome::NoneToBeHad => scale::Outcome::Dry,
        Outcome::Refused { .. } => scale::Outcome::Refused,
        Outcome::Unanswered { .. } => scale::Outcome::Unanswered,
    };
    let mut all = relay.duties.scaling.borrow_mut();
    if let Some(scaling) = all.get_mut(&order.service) {
        scaling.ordered(relay.now_ms(), &order.wish, came);
    }
    log::info!(
        service = order.service, zone = order.wish.zone, kind:? = order.wish.kind, desired = order.wish.desired,
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
    let now_ms = relay.duties.fleet_ms();
    if let Some(reports) = relay.duties.reports.borrow_mut().as_mut() {
        Reports::log_was_lost(reports, now_ms);
    }
}
