//! One record of the platform's log.

use capnp::message::Builder;

use crate::codec::{frame, free, name, unframe};
use crate::record_capnp::{self as schema, OrderKind as WireKind};
use crate::{Error, Result, Snapshot};

/// Who wrote a record, and its place among that writer's own.
///
/// A lost answer leaves the writer not knowing whether its append took effect. Readers drop
/// a sequence number that they have seen, so the writer may append again without harm.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// Instance that wrote the record.
    pub writer: String,
    /// Number drawn at the start of that process.
    pub incarnation: u64,
    /// Counts up by one with each record of the incarnation.
    pub sequence: u64,
}

/// A bundle as an operator published it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundlePublished {
    /// Version it claims.
    pub version: u64,
    /// Version it replaces.
    pub base: u64,
    /// Hexadecimal SHA-256 of `text`.
    pub digest: String,
    /// The bundle as published.
    pub text: String,
}

/// Names a bundle without its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BundleRef {
    /// Version of the bundle.
    pub version: u64,
    /// Hexadecimal SHA-256 of its text.
    pub digest: String,
}

/// A claim of the lease over a group of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseClaimed {
    /// Group of engines.
    pub group: String,
    /// Offset of the record the claim supersedes; 0 if there is none.
    pub supersedes: u64,
    /// Time for which the claim and each renewal hold.
    pub ttl_ms: u64,
}

/// Names a lease by its fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRef {
    /// Group of engines.
    pub group: String,
    /// Offset of the claim that won.
    pub fencing_token: u64,
}

/// What an engine can be told to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OrderKind {
    /// Change to the role named by the argument.
    Role,
    /// Load the model version named by the argument.
    Load,
    /// Unload the model version named by the argument.
    Unload,
}

/// An order to an engine, written before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderPlaced {
    /// Group of the engine.
    pub group: String,
    /// Fencing token of the lease under which the order is given.
    pub fencing_token: u64,
    /// Engine that is to carry it out.
    pub engine: String,
    /// Kind of order.
    pub kind: OrderKind,
    /// Role, or `model@version`.
    pub argument: String,
}

/// The end of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettled {
    /// Engine that had the order.
    pub engine: String,
    /// Offset of the order.
    pub order: u64,
    /// Whether the engine did it, or it was given up.
    pub done: bool,
}

/// What a record says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// An operator published a bundle.
    BundlePublished(BundlePublished),
    /// An operator signed a bundle off.
    BundleSigned(BundleRef),
    /// An operator put a signed bundle in force.
    BundleRolled(BundleRef),
    /// An operator took back a bundle that is not in force.
    BundleWithdrawn(BundleRef),
    /// An operator drained an engine.
    EngineDrained(String),
    /// An operator took an engine back into use.
    EngineUndrained(String),
    /// An instance claims a lease.
    LeaseClaimed(LeaseClaimed),
    /// A holder renews its lease.
    LeaseRenewed(LeaseRef),
    /// A holder gives its lease up.
    LeaseReleased(LeaseRef),
    /// A holder is about to give an order.
    OrderPlaced(OrderPlaced),
    /// An order has ended.
    OrderSettled(OrderSettled),
    /// State carried forward, so that older records may expire.
    Snapshot(Box<Snapshot>),
}

/// One record of the platform's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Who wrote it.
    pub origin: Origin,
    /// Wall clock of the writer, for people only: no decision reads it.
    pub wall_ms: u64,
    /// Operator on whose behalf it was written, or the instance.
    pub actor: String,
    /// What it says.
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
                writer: name("origin.writer", origin.get_writer())?,
                incarnation: origin.get_incarnation(),
                sequence: origin.get_sequence(),
            },
            wall_ms: wire.get_wall_ms(),
            actor: name("actor", wire.get_actor())?,
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
            Which::EngineDrained(engine) => Self::EngineDrained(name("engineDrained", engine)?),
            Which::EngineUndrained(engine) => {
                Self::EngineUndrained(name("engineUndrained", engine)?)
            }
            Which::LeaseClaimed(claim) => {
                let claim = claim?;
                Self::LeaseClaimed(LeaseClaimed {
                    group: name("leaseClaimed.group", claim.get_group())?,
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
                    engine: name("orderSettled.engine", settled.get_engine())?,
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
            digest: name("bundlePublished.digest", wire.get_digest())?,
            text: free("bundlePublished.text", wire.get_text())?,
        })
    }
}

impl TryFrom<schema::bundle_ref::Reader<'_>> for BundleRef {
    type Error = Error;

    fn try_from(wire: schema::bundle_ref::Reader) -> Result<Self> {
        Ok(Self {
            version: wire.get_version(),
            digest: name("bundleRef.digest", wire.get_digest())?,
        })
    }
}

impl TryFrom<schema::lease_ref::Reader<'_>> for LeaseRef {
    type Error = Error;

    fn try_from(wire: schema::lease_ref::Reader) -> Result<Self> {
        Ok(Self {
            group: name("leaseRef.group", wire.get_group())?,
            fencing_token: wire.get_fence(),
        })
    }
}

impl TryFrom<schema::order_placed::Reader<'_>> for OrderPlaced {
    type Error = Error;

    fn try_from(wire: schema::order_placed::Reader) -> Result<Self> {
        Ok(Self {
            group: name("orderPlaced.group", wire.get_group())?,
            fencing_token: wire.get_fence(),
            engine: name("orderPlaced.engine", wire.get_engine())?,
            kind: wire.get_kind()?.into(),
            argument: name("orderPlaced.argument", wire.get_argument())?,
        })
    }
}
