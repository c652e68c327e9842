//! Audit trail: who requested which change, when, and with which outcome.

use std::collections::VecDeque;

use wire::{AuditEntry, Body, Record};

use crate::Outcome;

/// Number of entries kept: about four days at 990 changes a day. Older ones are only in the
/// platform's archive of the log, if it keeps one.
const MAX_ENTRIES: usize = 4096;

/// The most recent audit entries, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct AuditTrail {
    pub(crate) entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    pub(crate) fn record(&mut self, offset: u64, record: &Record, outcome: &Outcome) {
        let Some(action) = action(&record.body) else {
            return;
        };
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(AuditEntry {
            offset,
            wall_ms: record.wall_ms,
            actor: record.actor.clone(),
            action,
            outcome: outcome.to_string(),
        });
    }
}

/// Describes the change of a record. `None` for renewals, settlements and snapshots, which are not
/// changes that an operator would look for.
fn action(body: &Body) -> Option<String> {
    Some(match body {
        Body::BundlePublished(bundle) => {
            format!("publish bundle {} on {}", bundle.version, bundle.base)
        }
        Body::BundleSigned(bundle) => format!("sign bundle {}", bundle.version),
        Body::BundleRolled(bundle) => format!("roll bundle {}", bundle.version),
        Body::BundleWithdrawn(bundle) => format!("withdraw bundle {}", bundle.version),
        Body::EngineDrained(engine) => format!("drain engine {engine}"),
        Body::EngineUndrained(engine) => format!("undrain engine {engine}"),
        Body::LeaseClaimed(claim) => format!("claim lease {}", claim.group),
        Body::LeaseReleased(lease) => format!("release lease {}", lease.group),
        Body::OrderPlaced(order) => {
            format!("order {} {:?} {}", order.engine, order.kind, order.argument)
        }
        Body::LeaseRenewed(_) | Body::OrderSettled(_) | Body::Snapshot(_) => return None,
    })
}
