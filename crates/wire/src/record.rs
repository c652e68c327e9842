//! Records of the platform's log.

use capnp::message::Builder;

use crate::codec::{frame, read_text, read_unbounded_text, unframe};
use crate::record_capnp::{self as schema, OrderKind as WireKind};
use crate::{Error, Result, Snapshot};

/// Identifies a record by its writer and the writer's sequence number.
///
/// A writer that gets no answer does not know whether its append took effect. Readers ignore
/// sequence numbers that they have already seen, so the writer can safely append again.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Name of the instance that wrote the record.
    pub writer: String,
    /// Random number that the process chose at its start.
    pub incarnation: u64,
    /// Incremented with each record of the incarnation.
    pub sequence: u64,
}

/// An operator's publication of a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundlePublished {
    /// Version of the bundle.
    pub version: u64,
    /// Version that the bundle replaces.
    pub base: u64,
    /// Hexadecimal SHA-256 of `text`.
    pub digest: String,
    /// Text of the bundle, as JSON with comments.
    pub text: String,
}

/// Reference to a published bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleRef {
    /// Version of the bundle.
    pub version: u64,
    /// Hexadecimal SHA-256 of its text.
    pub digest: String,
}

/// An instance's claim to the lease for a group of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseClaimed {
    /// Name of the group of engines.
    pub group: String,
    /// Offset of the lease's latest record, which the claim supersedes; 0 if there is none.
    pub supersedes: u64,
    /// Time for which the claim and each renewal are valid.
    pub ttl_ms: u64,
}

/// Reference to a lease by its fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRef {
    /// Name of the group of engines.
    pub group: String,
    /// Offset of the claim that was granted.
    pub fencing_token: u64,
}

/// Kinds of orders to engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Change to the role in `argument`.
    Role,
    /// Load the model version in `argument`.
    Load,
    /// Unload the model version in `argument`.
    Unload,
}

/// An order to an engine. It is appended to the log before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderPlaced {
    /// Name of the engine's group.
    pub group: String,
    /// Fencing token of the lease under which the order is placed.
    pub fencing_token: u64,
    /// Name of the engine that executes the order.
    pub engine: String,
    /// What the engine is to do.
    pub kind: OrderKind,
    /// Role, or `model@version`, depending on `kind`.
    pub argument: String,
}

/// The final outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettled {
    /// Name of the engine that received the order.
    pub engine: String,
    /// Offset of the order.
    pub order: u64,
    /// True if the engine executed the order, false if the order was abandoned.
    pub done: bool,
}

/// Content of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// An operator published a bundle.
    BundlePublished(BundlePublished),
    /// An operator approved a bundle.
    BundleSigned(BundleRef),
    /// An operator put an approved bundle in force.
    BundleRolled(BundleRef),
    /// An operator withdrew a bundle that is not in force.
    BundleWithdrawn(BundleRef),
    /// An operator drained an engine.
    EngineDrained(String),
    /// An operator ended the drain of an engine.
    EngineUndrained(String),
    /// An instance claimed a lease.
    LeaseClaimed(LeaseClaimed),
    /// The holder renewed its lease.
    LeaseRenewed(LeaseRef),
    /// The holder released its lease.
    LeaseReleased(LeaseRef),
    /// The lease holder is about to send an order.
    OrderPlaced(OrderPlaced),
    /// An order was executed or abandoned.
    OrderSettled(OrderSettled),
    /// The state up to this record, which lets the log drop older records.
    Snapshot(Box<Snapshot>),
}

/// One record of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Writer and sequence number.
    pub origin: Origin,
    /// Wall-clock time of the writer since the Unix epoch. It is only displayed; no decision depends
    /// on it.
    pub wall_ms: u64,
    /// Operator for whom the record was written, or the instance itself.
    pub actor: String,
    /// Content of the record.
    pub body: Body,
}

impl Record {
    /// Encodes the record as one framed message.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        self.fill(message.init_root());
        frame(&message)
    }

    /// Decodes one framed message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message = unframe(bytes)?;
        Self::try_from(message.get_root::<schema::record::Reader>()?)
    }

    fn fill(&self, mut out: schema::record::Builder) {
        out.set_wall_ms(self.wall_ms);
        out.set_actor(&self.actor);
        let mut origin = out.reborrow().init_origin();
        origin.set_writer(&self.origin.writer);
        origin.set_incarnation(self.origin.incarnation);
        origin.set_sequence(self.origin.sequence);
        fill_body(&self.body, out.init_body());
    }
}

fn fill_body(body: &Body, mut out: schema::record::body::Builder) {
    match body {
        Body::BundlePublished(bundle) => bundle.fill(out.init_bundle_published()),
        Body::BundleSigned(bundle) => bundle.fill(out.init_bundle_signed()),
        Body::BundleRolled(bundle) => bundle.fill(out.init_bundle_rolled()),
        Body::BundleWithdrawn(bundle) => bundle.fill(out.init_bundle_withdrawn()),
        Body::EngineDrained(engine) => out.set_engine_drained(engine),
        Body::EngineUndrained(engine) => out.set_engine_undrained(engine),
        Body::LeaseClaimed(claim) => {
            let mut out = out.init_lease_claimed();
            out.set_group(&claim.group);
            out.set_supersedes(claim.supersedes);
            out.set_ttl_ms(claim.ttl_ms);
        }
        Body::LeaseRenewed(lease) => lease.fill(out.init_lease_renewed()),
        Body::LeaseReleased(lease) => lease.fill(out.init_lease_released()),
        Body::OrderPlaced(order) => order.fill(out.init_order_placed()),
        Body::OrderSettled(settled) => {
            let mut out = out.init_order_settled();
            out.set_engine(&settled.engine);
            out.set_order(settled.order);
            out.set_done(settled.done);
        }
        Body::Snapshot(snapshot) => snapshot.fill(out.init_snapshot()),
    }
}

impl BundlePublished {
    pub(crate) fn fill(&self, mut out: schema::bundle_published::Builder) {
        out.set_version(self.version);
        out.set_base(self.base);
        out.set_digest(&self.digest);
        out.set_text(&self.text);
    }
}

impl BundleRef {
    fn fill(&self, mut out: schema::bundle_ref::Builder) {
        out.set_version(self.version);
        out.set_digest(&self.digest);
    }
}

impl LeaseRef {
    fn fill(&self, mut out: schema::lease_ref::Builder) {
        out.set_group(&self.group);
        out.set_fence(self.fencing_token);
    }
}

impl OrderPlaced {
    pub(crate) fn fill(&self, mut out: schema::order_placed::Builder) {
        out.set_group(&self.group);
        out.set_fence(self.fencing_token);
        out.set_engine(&self.engine);
        out.set_kind(self.kind.into());
        out.set_argument(&self.argument);
    }
}

impl From<OrderKind> for WireKind {
    fn from(kind: OrderKind) -> Self {
        match kind {
            OrderKind::Role => Self::Role,
            OrderKind::Load => Self::Load,
            OrderKind::Unload => Self::Unload,
        }
    }
}

impl From<WireKind> for OrderKind {
    fn from(kind: WireKind) -> Self {
        match kind {
            WireKind::Role => Self::Role,
            WireKind::Load => Self::Load,
            WireKind::Unload => Self::Unload,
        }
    }
}

impl TryFrom<schema::record::Reader<'_>> for Record {
    type Error = Error;

    fn try_from(wire: schema::record::Reader) -> Result<Self> {
        let origin = wire.get_origin()?;
        Ok(Self {
            origin: Origin {
                writer: read_text("origin.writer", origin.get_writer())?,
                incarnation: origin.get_incarnation(),
                sequence: origin.get_sequence(),
            },
            wall_ms: wire.get_wall_ms(),
            actor: read_text("actor", wire.get_actor())?,
            body: Body::try_from(wire.get_body())?,
        })
    }
}

impl TryFrom<schema::record::body::Reader<'_>> for Body {
    type Error = Error;

    fn try_from(wire: schema::record::body::Reader) -> Result<Self> {
        use schema::record::body::Which;
        Ok(match wire.which()? {
            Which::BundlePublished(bundle) => Self::BundlePublished(bundle?.try_into()?),
            Which::BundleSigned(bundle) => Self::BundleSigned(bundle?.try_into()?),
            Which::BundleRolled(bundle) => Self::BundleRolled(bundle?.try_into()?),
            Which::BundleWithdrawn(bundle) => Self::BundleWithdrawn(bundle?.try_into()?),
            Which::EngineDrained(engine) => {
                Self::EngineDrained(read_text("engineDrained", engine)?)
            }
            Which::EngineUndrained(engine) => {
                Self::EngineUndrained(read_text("engineUndrained", engine)?)
            }
            Which::LeaseClaimed(claim) => {
                let claim = claim?;
                Self::LeaseClaimed(LeaseClaimed {
                    group: read_text("leaseClaimed.group", claim.get_group())?,
                    supersedes: claim.get_supersedes(),
                    ttl_ms: claim.get_ttl_ms(),
                })
            }
            Which::LeaseRenewed(lease) => Self::LeaseRenewed(lease?.try_into()?),
            Which::LeaseReleased(lease) => Self::LeaseReleased(lease?.try_into()?),
            Which::OrderPlaced(order) => Self::OrderPlaced(order?.try_into()?),
            Which::OrderSettled(settled) => {
                let settled = settled?;
                Self::OrderSettled(OrderSettled {
                    engine: read_text("orderSettled.engine", settled.get_engine())?,
                    order: settled.get_order(),
                    done: settled.get_done(),
                })
            }
            Which::Snapshot(snapshot) => Self::Snapshot(Box::new(snapshot?.try_into()?)),
        })
    }
}

impl TryFrom<schema::bundle_published::Reader<'_>> for BundlePublished {
    type Error = Error;

    fn try_from(wire: schema::bundle_published::Reader) -> Result<Self> {
        Ok(Self {
            version: wire.get_version(),
            base: wire.get_base(),
            digest: read_text("bundlePublished.digest", wire.get_digest())?,
            text: read_unbounded_text("bundlePublished.text", wire.get_text())?,
        })
    }
}

impl TryFrom<schema::bundle_ref::Reader<'_>> for BundleRef {
    type Error = Error;

    fn try_from(wire: schema::bundle_ref::Reader) -> Result<Self> {
        Ok(Self {
            version: wire.get_version(),
            digest: read_text("bundleRef.digest", wire.get_digest())?,
        })
    }
}

impl TryFrom<schema::lease_ref::Reader<'_>> for LeaseRef {
    type Error = Error;

    fn try_from(wire: schema::lease_ref::Reader) -> Result<Self> {
        Ok(Self {
            group: read_text("leaseRef.group", wire.get_group())?,
            fencing_token: wire.get_fence(),
        })
    }
}

impl TryFrom<schema::order_placed::Reader<'_>> for OrderPlaced {
    type Error = Error;

    fn try_from(wire: schema::order_placed::Reader) -> Result<Self> {
        Ok(Self {
            group: read_text("orderPlaced.group", wire.get_group())?,
            fencing_token: wire.get_fence(),
            engine: read_text("orderPlaced.engine", wire.get_engine())?,
            kind: wire.get_kind()?.into(),
            argument: read_text("orderPlaced.argument", wire.get_argument())?,
        })
    }
}
