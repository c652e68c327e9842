//! State of a deployment, derived from its log.

use std::collections::BTreeMap;

use derive_more::Display;
use wire::{AuditEntry, Body, BundleState, Drain, LeaseState, OrderState, Record, Snapshot};

use crate::audit::AuditTrail;
use crate::bundles::Bundles;
use crate::leases::Leases;

/// Interval, in records, at which inactive writers are removed.
const CLEANUP_INTERVAL: u64 = 4096;

/// Number of records after which an inactive writer is removed. A duplicate that is delayed for
/// longer is not recognized, but is refused all the same: a lease record of that age supersedes an
/// outdated offset, and a bundle record has an outdated base.
const WRITER_RETENTION: u64 = 4 * CLEANUP_INTERVAL;

/// Outcome of applying a record.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record took effect.
    #[display("accepted")]
    Accepted,
    /// The record was applied before.
    #[display("duplicate")]
    Duplicate,
    /// The record has no effect, for the given reason.
    #[display("refused: {_0}")]
    Refused(String),
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct LastRecord {
    sequence: u64,
    offset: u64,
}

/// State after all records below `next_offset`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct State {
    next_offset: u64,
    snapshot_offset: u64,
    writers: BTreeMap<(String, u64), LastRecord>,
    bundles: Bundles,
    drains: BTreeMap<String, Drain>,
    leases: Leases,
    audit_trail: AuditTrail,
}

impl State {
    /// First offset that has not been applied.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Applies a record. Records below `next_offset` are duplicates and change nothing.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Outcome {
        if offset < self.next_offset {
            return Outcome::Duplicate;
        }
        self.next_offset = offset + 1;
        if !self.is_new(offset, record) {
            return Outcome::Duplicate;
        }
        let outcome = self.apply_body(offset, record);
        self.audit_trail.record(offset, record, &outcome);
        outcome
    }

    /// Skips offsets that hold no valid record.
    pub fn skip_to(&mut self, next_offset: u64) {
        self.next_offset = self.next_offset.max(next_offset);
    }

    fn is_new(&mut self, offset: u64, record: &Record) -> bool {
        let origin = &record.origin;
        let key = (origin.writer.clone(), origin.incarnation);
        let sequence = origin.sequence;
        if self
            .writers
            .get(&key)
            .is_some_and(|last| last.sequence >= sequence)
        {
            return false;
        }
        self.writers.insert(key, LastRecord { sequence, offset });
        if offset.is_multiple_of(CLEANUP_INTERVAL) {
            let oldest = offset.saturating_sub(WRITER_RETENTION);
            self.writers.retain(|_, last| last.offset >= oldest);
        }
        true
    }

    fn apply_body(&mut self, offset: u64, record: &Record) -> Outcome {
        let Record { origin, actor, .. } = record;
        match &record.body {
            Body::BundlePublished(bundle) => self.bundles.publish(offset, actor, bundle),
            Body::BundleSigned(bundle) => self.bundles.sign(actor, bundle),
            Body::BundleRolled(bundle) => self.bundles.roll(offset, bundle),
            Body::BundleWithdrawn(bundle) => self.bundles.withdraw(bundle),
            Body::EngineDrained(engine) => self.drain(offset, actor, engine),
            Body::EngineUndrained(engine) => match self.drains.remove(engine) {
                Some(_) => Outcome::Accepted,
                None => Outcome::Refused(format!("{engine} is not drained")),
            },
            Body::LeaseClaimed(claim) => self.leases.claim(offset, origin, claim),
            Body::LeaseRenewed(lease) => self.leases.renew(offset, origin, lease),
            Body::LeaseReleased(lease) => self.leases.release(offset, origin, lease),
            Body::OrderPlaced(order) => self.leases.place(offset, origin, order),
            Body::OrderSettled(settled) => self.leases.settle(origin, settled),
            Body::Snapshot(_) => {
                self.snapshot_offset = offset;
                Outcome::Accepted
            }
        }
    }

    fn drain(&mut self, offset: u64, actor: &str, engine: &str) -> Outcome {
        if let Some(drain) = self.drains.get(engine) {
            return Outcome::Refused(format!("{engine} was drained by {}", drain.by));
        }
        let drain = Drain {
            engine: engine.to_owned(),
            by: actor.to_owned(),
            offset,
        };
        self.drains.insert(engine.to_owned(), drain);
        Outcome::Accepted
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&BundleState> {
        self.bundles.accepted.get(&self.bundles.in_force_version)
    }

    /// Offset of the record that put the bundle in force; 0 if there is none.
    pub fn in_force_offset(&self) -> u64 {
        self.bundles.in_force_offset
    }

    /// Newest accepted bundle version; 0 if there is none.
    pub fn newest_version(&self) -> u64 {
        self.bundles.newest_version
    }

    /// Accepted bundles that are in force or newer.
    pub fn bundles(&self) -> impl Iterator<Item = &BundleState> {
        self.bundles.accepted.values()
    }

    /// The accepted bundle with the given version.
    pub fn bundle(&self, version: u64) -> Option<&BundleState> {
        self.bundles.accepted.get(&version)
    }

    /// Whether the engine is drained by an operator.
    pub fn is_drained(&self, engine: &str) -> bool {
        self.drains.contains_key(engine)
    }

    /// Drained engines, by name.
    pub fn drains(&self) -> impl Iterator<Item = &Drain> {
        self.drains.values()
    }

    /// Newest state of the lease over a group of engines, even if it has expired.
    pub fn lease(&self, group: &str) -> Option<&LeaseState> {
        self.leases.leases.get(group)
    }

    /// The most recent order to an engine.
    pub fn last_order(&self, engine: &str) -> Option<&OrderState> {
        self.leases.orders.get(engine)
    }

    /// Orders of a group that are not settled.
    pub fn open_orders<'a>(&'a self, group: &'a str) -> impl Iterator<Item = &'a OrderState> {
        let orders = self.leases.orders.values();
        orders.filter(move |order| !order.settled && order.placed.group == group)
    }

    /// Audit trail, oldest first.
    pub fn audit(&self) -> impl DoubleEndedIterator<Item = &AuditEntry> {
        self.audit_trail.entries.iter()
    }

    /// Offset of the most recent snapshot.
    pub fn snapshot_offset(&self) -> u64 {
        self.snapshot_offset
    }

    /// Number of offsets applied since the most recent snapshot.
    pub fn records_since_snapshot(&self) -> u64 {
        self.next_offset.saturating_sub(self.snapshot_offset + 1)
    }

    /// Creates a snapshot of the state.
    pub fn snapshot(&self) -> Snapshot {
        let writers = self.writers.iter();
        Snapshot {
            next_offset: self.next_offset,
            newest_version: self.bundles.newest_version,
            in_force_version: self.bundles.in_force_version,
            in_force_offset: self.bundles.in_force_offset,
            writers: writers
                .map(|((writer, incarnation), last)| wire::Writer {
                    writer: writer.clone(),
                    incarnation: *incarnation,
                    sequence: last.sequence,
                    offset: last.offset,
                })
                .collect(),
            bundles: self.bundles.accepted.values().cloned().collect(),
            drains: self.drains.values().cloned().collect(),
            leases: self.leases.leases.values().cloned().collect(),
            orders: self.leases.orders.values().cloned().collect(),
            audit: self.audit_trail.entries.iter().cloned().collect(),
        }
    }
}

impl From<Snapshot> for State {
    fn from(snapshot: Snapshot) -> Self {
        let by_version = |bundle: BundleState| (bundle.published.version, bundle);
        let by_group = |lease: LeaseState| (lease.group.clone(), lease);
        let by_engine = |order: OrderState| (order.placed.engine.clone(), order);
        Self {
            next_offset: snapshot.next_offset,
            snapshot_offset: snapshot.next_offset,
            writers: snapshot
                .writers
                .into_iter()
                .map(|writer| {
                    let last = LastRecord {
                        sequence: writer.sequence,
                        offset: writer.offset,
                    };
                    ((writer.writer, writer.incarnation), last)
                })
                .collect(),
            bundles: Bundles {
                newest_version: snapshot.newest_version,
                in_force_version: snapshot.in_force_version,
                in_force_offset: snapshot.in_force_offset,
                accepted: snapshot.bundles.into_iter().map(by_version).collect(),
            },
            drains: snapshot
                .drains
                .into_iter()
                .map(|drain| (drain.engine.clone(), drain))
                .collect(),
            leases: Leases {
                leases: snapshot.leases.into_iter().map(by_group).collect(),
                orders: snapshot.orders.into_iter().map(by_engine).collect(),
            },
            audit_trail: AuditTrail {
                entries: snapshot.audit.into(),
            },
        }
    }
}
