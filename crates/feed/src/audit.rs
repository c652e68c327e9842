//! The audit trail: who asked for which change, when, and what came of it.

use std::collections::VecDeque;

use wire::{AuditEntry, Body, Record};

use crate::Outcome;

/// Entries kept; at 990 changes a day this is about four days. Older ones have left the state
/// but stay in whatever archive the platform keeps of its log.
const ENTRIES: usize = 4096;

/// The last entries, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Trail {
    pub(crate) entries: VecDeque<AuditEntry>,
}

impl Trail {
    pub(crate) fn note(&mut self, offset: u64, record: &Record, outcome: &Outcome) {
        let Some(action) = action(&record.body) else {
            return;
        };
        if self.entries.len() == ENTRIES {
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

/// Renewals, settlements and snapshots change nothing that a person asked for.
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
