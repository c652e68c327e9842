//! State folded from the log, in the form that a snapshot carries.

use capnp::message::Builder;

use crate::codec::{frame, name, unframe};
use crate::record_capnp::snapshot as schema;
use crate::{BundlePublished, Error, OrderPlaced, Result};

/// The last sequence number seen of one writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Writer {
    /// Instance.
    pub writer: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Last sequence number that took effect.
    pub sequence: u64,
    /// Offset of that record.
    pub offset: u64,
}

/// An accepted bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleState {
    /// The bundle as published.
    pub published: BundlePublished,
    /// Offset of its publication.
    pub offset: u64,
    /// Operator who signed it off; empty until then.
    pub signed_by: String,
    /// Whether it was withdrawn.
    pub withdrawn: bool,
}

/// An engine that an operator drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Engine.
    pub engine: String,
    /// Operator.
    pub by: String,
    /// Offset of the drain.
    pub offset: u64,
}

/// The lease over a group of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseState {
    /// Group of engines.
    pub group: String,
    /// Instance that holds or held it.
    pub holder: String,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Offset of the claim, which is the fencing token.
    pub fencing_token: u64,
    /// Offset of the last record of this lease; a claim names it to supersede it.
    pub last_offset: u64,
    /// Sequence number that the holder gave that record.
    pub sequence: u64,
    /// Time for which each renewal holds.
    pub ttl_ms: u64,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// The last order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderState {
    /// The order.
    pub placed: OrderPlaced,
    /// Its offset, which the engine gets as fencing token.
    pub offset: u64,
    /// Whether it has ended.
    pub settled: bool,
    /// Whether it was carried out.
    pub done: bool,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Wall clock of its writer.
    pub wall_ms: u64,
    /// Who asked for it.
    pub actor: String,
    /// What was asked.
    pub action: String,
    /// What came of it.
    pub outcome: String,
}

/// State folded from all records below `next_offset`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// First offset that is not folded in.
    pub next_offset: u64,
    /// Highest bundle version that was accepted.
    pub newest_version: u64,
    /// Version in force; 0 if none is.
    pub in_force_version: u64,
    /// Offset of the roll that put it in force.
    pub in_force_offset: u64,
    /// Writers seen lately.
    pub writers: Vec<Writer>,
    /// Bundles that may still be rolled or are in force.
    pub bundles: Vec<BundleState>,
    /// Engines that are drained.
    pub drains: Vec<Drain>,
    /// Leases by group.
    pub leases: Vec<LeaseState>,
    /// Last order by engine.
    pub orders: Vec<OrderState>,
    /// The audit trail, oldest first.
    pub audit: Vec<AuditEntry>,
}

impl Snapshot {
    /// Encodes the snapshot as one framed message.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        self.fill(message.init_root());
        frame(&message)
    }

    /// Decodes one framed message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message = unframe(bytes)?;
        Self::try_from(message.get_root::<schema::Reader>()?)
    }

    pub(crate) fn fill(&self, mut out: schema::Builder) {
        out.set_next_offset(self.next_offset);
        out.set_head(self.newest_version);
        out.set_in_force_version(self.in_force_version);
        out.set_in_force_offset(self.in_force_offset);
        let mut writers = out.reborrow().init_writers(self.writers.len() as u32);
        for (index, writer) in self.writers.iter().enumerate() {
            let mut out = writers.reborrow().get(index as u32);
            out.set_writer(&writer.writer);
            out.set_incarnation(writer.incarnation);
            out.set_sequence(writer.sequence);
            out.set_offset(writer.offset);
        }
        let mut bundles = out.reborrow().init_bundles(self.bundles.len() as u32);
        for (index, bundle) in self.bundles.iter().enumerate() {
            let mut out = bundles.reborrow().get(index as u32);
            bundle.published.fill(out.reborrow().init_published());
            out.set_offset(bundle.offset);
            out.set_signed_by(&bundle.signed_by);
            out.set_withdrawn(bundle.withdrawn);
        }
        let mut drains = out.reborrow().init_drains(self.drains.len() as u32);
        for (index, drain) in self.drains.iter().enumerate() {
            let mut out = drains.reborrow().get(index as u32);
            out.set_engine(&drain.engine);
            out.set_by(&drain.by);
            out.set_offset(drain.offset);
        }
        let mut leases = out.reborrow().init_leases(self.leases.len() as u32);
        for (index, lease) in self.leases.iter().enumerate() {
            lease.fill(leases.reborrow().get(index as u32));
        }
        let mut orders = out.reborrow().init_orders(self.orders.len() as u32);
        for (index, order) in self.orders.iter().enumerate() {
            let mut out = orders.reborrow().get(index as u32);
            order.placed.fill(out.reborrow().init_placed());
            out.set_offset(order.offset);
            out.set_settled(order.settled);
            out.set_done(order.done);
        }
        let mut audit = out.init_audit(self.audit.len() as u32);
        for (index, entry) in self.audit.iter().enumerate() {
            entry.fill(audit.reborrow().get(index as u32));
        }
    }
}

impl LeaseState {
    fn fill(&self, mut out: schema::lease::Builder) {
        out.set_group(&self.group);
        out.set_holder(&self.holder);
        out.set_incarnation(self.incarnation);
        out.set_fence(self.fencing_token);
        out.set_renewed(self.last_offset);
        out.set_sequence(self.sequence);
        out.set_ttl_ms(self.ttl_ms);
        out.set_released(self.released);
    }
}

impl AuditEntry {
    fn fill(&self, mut out: schema::audit::Builder) {
        out.set_offset(self.offset);
        out.set_wall_ms(self.wall_ms);
        out.set_actor(&self.actor);
        out.set_action(&self.action);
        out.set_outcome(&self.outcome);
    }
}

impl TryFrom<schema::Reader<'_>> for Snapshot {
    type Error = Error;

    fn try_from(wire: schema::Reader) -> Result<Self> {
        Ok(Self {
            next_offset: wire.get_next_offset(),
            newest_version: wire.get_head(),
            in_force_version: wire.get_in_force_version(),
            in_force_offset: wire.get_in_force_offset(),
            writers: collect(wire.get_writers()?.iter())?,
            bundles: collect(wire.get_bundles()?.iter())?,
            drains: collect(wire.get_drains()?.iter())?,
            leases: collect(wire.get_leases()?.iter())?,
            orders: collect(wire.get_orders()?.iter())?,
            audit: collect(wire.get_audit()?.iter())?,
        })
    }
}

fn collect<W, T: TryFrom<W, Error = Error>>(wire: impl Iterator<Item = W>) -> Result<Vec<T>> {
    wire.map(T::try_from).collect()
}

impl TryFrom<schema::writer::Reader<'_>> for Writer {
    type Error = Error;

    fn try_from(wire: schema::writer::Reader) -> Result<Self> {
        Ok(Self {
            writer: name("snapshot.writers.writer", wire.get_writer())?,
            incarnation: wire.get_incarnation(),
            sequence: wire.get_sequence(),
            offset: wire.get_offset(),
        })
    }
}

impl TryFrom<schema::bundle::Reader<'_>> for BundleState {
    type Error = Error;

    fn try_from(wire: schema::bundle::Reader) -> Result<Self> {
        Ok(Self {
            published: wire.get_published()?.try_into()?,
            offset: wire.get_offset(),
            signed_by: name("snapshot.bundles.signedBy", wire.get_signed_by())?,
            withdrawn: wire.get_withdrawn(),
        })
    }
}

impl TryFrom<schema::drain::Reader<'_>> for Drain {
    type Error = Error;

    fn try_from(wire: schema::drain::Reader) -> Result<Self> {
        Ok(Self {
            engine: name("snapshot.drains.engine", wire.get_engine())?,
            by: name("snapshot.drains.by", wire.get_by())?,
            offset: wire.get_offset(),
        })
    }
}

impl TryFrom<schema::lease::Reader<'_>> for LeaseState {
    type Error = Error;

    fn try_from(wire: schema::lease::Reader) -> Result<Self> {
        Ok(Self {
            group: name("snapshot.leases.group", wire.get_group())?,
            holder: name("snapshot.leases.holder", wire.get_holder())?,
            incarnation: wire.get_incarnation(),
            fencing_token: wire.get_fence(),
            last_offset: wire.get_renewed(),
            sequence: wire.get_sequence(),
            ttl_ms: wire.get_ttl_ms(),
            released: wire.get_released(),
        })
    }
}

impl TryFrom<schema::order::Reader<'_>> for OrderState {
    type Error = Error;

    fn try_from(wire: schema::order::Reader) -> Result<Self> {
        Ok(Self {
            placed: wire.get_placed()?.try_into()?,
            offset: wire.get_offset(),
            settled: wire.get_settled(),
            done: wire.get_done(),
        })
    }
}

impl TryFrom<schema::audit::Reader<'_>> for AuditEntry {
    type Error = Error;

    fn try_from(wire: schema::audit::Reader) -> Result<Self> {
        Ok(Self {
            offset: wire.get_offset(),
            wall_ms: wire.get_wall_ms(),
            actor: name("snapshot.audit.actor", wire.get_actor())?,
            action: name("snapshot.audit.action", wire.get_action())?,
            outcome: name("snapshot.audit.outcome", wire.get_outcome())?,
        })
    }
}
