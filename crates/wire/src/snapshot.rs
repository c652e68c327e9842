//! Snapshots of the state that the records of the log add up to.

use capnp::message::Builder;

use crate::codec::{frame, read_text, unframe};
use crate::record_capnp::snapshot as schema;
use crate::{BundlePublished, Error, OrderPlaced, Result};

/// The last record of one writer, for dropping its duplicates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Writer {
    /// Name of the instance.
    pub writer: String,
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Sequence number of the last record that was applied.
    pub sequence: u64,
    /// Offset of that record in the log.
    pub offset: u64,
}

/// A bundle whose publication was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleState {
    /// Content of the publication.
    pub published: BundlePublished,
    /// Offset of the publication.
    pub offset: u64,
    /// Operator who approved the bundle; empty until then.
    pub signed_by: String,
    /// Whether an operator withdrew the bundle.
    pub withdrawn: bool,
}

/// A drained engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// Name of the engine.
    pub engine: String,
    /// Operator who drained it.
    pub by: String,
    /// Offset of the record that drained it.
    pub offset: u64,
}

/// The lease for a group of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseState {
    /// Name of the group of engines.
    pub group: String,
    /// Instance that was last granted the lease.
    pub holder: String,
    /// Incarnation of that instance.
    pub incarnation: u64,
    /// Fencing token: the offset of the claim that was granted.
    pub fencing_token: u64,
    /// Offset of the latest claim, renewal or release. A new claim must name it in `supersedes`.
    pub last_offset: u64,
    /// Sequence number of that record among the holder's.
    pub sequence: u64,
    /// Time for which the claim and each renewal are valid.
    pub ttl_ms: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// The latest order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderState {
    /// Content of the order.
    pub placed: OrderPlaced,
    /// Offset of the order, which is its fencing token at the engine.
    pub offset: u64,
    /// Whether the order was executed or abandoned.
    pub settled: bool,
    /// Whether the engine executed it.
    pub done: bool,
}

/// An entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditEntry {
    /// Offset of the record.
    pub offset: u64,
    /// Wall-clock time of the writer since the Unix epoch.
    pub wall_ms: u64,
    /// Operator or instance that requested the action.
    pub actor: String,
    /// Requested action.
    pub action: String,
    /// Result of the action, such as a refusal with its reason.
    pub outcome: String,
}

/// The state after applying all records before `next_offset`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Offset of the first record that is not included.
    pub next_offset: u64,
    /// Highest version of an accepted bundle.
    pub newest_version: u64,
    /// Version of the bundle in force; 0 if there is none.
    pub in_force_version: u64,
    /// Offset of the record that put it in force.
    pub in_force_offset: u64,
    /// Recent writers.
    pub writers: Vec<Writer>,
    /// The bundle in force and those that can still be rolled.
    pub bundles: Vec<BundleState>,
    /// Drained engines.
    pub drains: Vec<Drain>,
    /// Leases, one for each group.
    pub leases: Vec<LeaseState>,
    /// Latest order to each engine.
    pub orders: Vec<OrderState>,
    /// Audit trail, oldest entry first.
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

/// Converts a list and fails at the first invalid element.
fn collect<W, T: TryFrom<W, Error = Error>>(wire: impl Iterator<Item = W>) -> Result<Vec<T>> {
    wire.map(T::try_from).collect()
}

impl TryFrom<schema::writer::Reader<'_>> for Writer {
    type Error = Error;

    fn try_from(wire: schema::writer::Reader) -> Result<Self> {
        Ok(Self {
            writer: read_text("snapshot.writers.writer", wire.get_writer())?,
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
            signed_by: read_text("snapshot.bundles.signedBy", wire.get_signed_by())?,
            withdrawn: wire.get_withdrawn(),
        })
    }
}

impl TryFrom<schema::drain::Reader<'_>> for Drain {
    type Error = Error;

    fn try_from(wire: schema::drain::Reader) -> Result<Self> {
        Ok(Self {
            engine: read_text("snapshot.drains.engine", wire.get_engine())?,
            by: read_text("snapshot.drains.by", wire.get_by())?,
            offset: wire.get_offset(),
        })
    }
}

impl TryFrom<schema::lease::Reader<'_>> for LeaseState {
    type Error = Error;

    fn try_from(wire: schema::lease::Reader) -> Result<Self> {
        Ok(Self {
            group: read_text("snapshot.leases.group", wire.get_group())?,
            holder: read_text("snapshot.leases.holder", wire.get_holder())?,
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
            actor: read_text("snapshot.audit.actor", wire.get_actor())?,
            action: read_text("snapshot.audit.action", wire.get_action())?,
            outcome: read_text("snapshot.audit.outcome", wire.get_outcome())?,
        })
    }
}
