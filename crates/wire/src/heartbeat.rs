//! Heartbeats between instances.

use crate::codec::name;
use crate::peer_capnp::{self as schema, Condition as WireCondition};
use crate::{Error, Result};

/// Where an instance is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Condition {
    /// It has no current state yet.
    #[default]
    Starting,
    /// It serves.
    Ready,
    /// It ends what it holds and takes nothing new.
    Leaving,
}

/// Work that an instance has put on an engine and that the engine may not report yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineLoad {
    /// Engine.
    pub engine: String,
    /// Sender's monotonic clock.
    pub at_ms: u64,
    /// Prompt tokens without a first token yet, by rank.
    pub prompt_tokens: Vec<u64>,
    /// Output tokens still expected.
    pub output_tokens: u64,
    /// Requests without a first token yet, by rank.
    pub waiting: Vec<u64>,
    /// Requests that produce output.
    pub running: u64,
}

/// What an instance tells another about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Instance.
    pub instance: String,
    /// Number drawn at its start.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: String,
    /// Where it is in its life.
    pub condition: Condition,
    /// First log offset that it has not applied.
    pub applied_offset: u64,
    /// Its count of key epochs, which idempotency keys carry.
    pub epoch: u64,
    /// Where callers reach it.
    pub caller_address: String,
    /// Work it has sent to engines; `None` where this beat does not tell.
    pub sent_load: Option<Vec<EngineLoad>>,
    /// Version of the bundle in force there.
    pub bundle_version: u64,
    /// Prompt tokens a ms that arrive there.
    pub prompt_rate: f64,
    /// Output tokens a ms that are asked for there.
    pub output_rate: f64,
}

impl Heartbeat {
    /// Encodes the beat as one framed message.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        self.fill(message.init_root());
        crate::codec::frame(&message)
    }

    /// Decodes one framed message.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let message = crate::codec::unframe(bytes)?;
        Self::try_from(message.get_root::<schema::beat::Reader>()?)
    }

    /// Writes the beat into a message.
    pub fn fill(&self, mut out: schema::beat::Builder) {
        out.set_instance(&self.instance);
        out.set_incarnation(self.incarnation);
        out.set_zone(&self.zone);
        out.set_condition(self.condition.into());
        out.set_applied_offset(self.applied_offset);
        out.set_epoch(self.epoch);
        out.set_caller_address(&self.caller_address);
        out.set_bundle_version(self.bundle_version);
        out.set_prompt_rate(self.prompt_rate);
        out.set_output_rate(self.output_rate);
        let Some(loads) = &self.sent_load else {
            return;
        };
        out.set_tells_load(true);
        let mut sent = out.init_sent(loads.len() as u32);
        for (index, load) in loads.iter().enumerate() {
            let mut out = sent.reborrow().get(index as u32);
            out.set_engine(&load.engine);
            out.set_at_ms(load.at_ms);
            out.set_output_tokens(load.output_tokens);
            out.set_running(load.running);
            let count = load.prompt_tokens.len() as u32;
            let mut tokens = out.reborrow().init_prompt_tokens(count);
            for (rank, count) in load.prompt_tokens.iter().enumerate() {
                tokens.set(rank as u32, *count);
            }
            let mut waiting = out.init_waiting(load.waiting.len() as u32);
            for (rank, count) in load.waiting.iter().enumerate() {
                waiting.set(rank as u32, *count);
            }
        }
    }
}

impl From<Condition> for WireCondition {
    fn from(condition: Condition) -> Self {
        match condition {
            Condition::Starting => Self::Starting,
            Condition::Ready => Self::Ready,
            Condition::Leaving => Self::Leaving,
        }
    }
}

impl From<WireCondition> for Condition {
    fn from(condition: WireCondition) -> Self {
        match condition {
            WireCondition::Starting => Self::Starting,
            WireCondition::Ready => Self::Ready,
            WireCondition::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<schema::beat::Reader<'_>> for Heartbeat {
    type Error = Error;

    fn try_from(wire: schema::beat::Reader) -> Result<Self> {
        Ok(Self {
            instance: name("beat.instance", wire.get_instance())?,
            incarnation: wire.get_incarnation(),
            zone: name("beat.zone", wire.get_zone())?,
            condition: wire.get_condition()?.into(),
            applied_offset: wire.get_applied_offset(),
            epoch: wire.get_epoch(),
            caller_address: name("beat.callerAddress", wire.get_caller_address())?,
            sent_load: loads(wire)?,
            bundle_version: wire.get_bundle_version(),
            prompt_rate: rate("beat.promptRate", wire.get_prompt_rate())?,
            output_rate: rate("beat.outputRate", wire.get_output_rate())?,
        })
    }
}

fn loads(wire: schema::beat::Reader) -> Result<Option<Vec<EngineLoad>>> {
    if !wire.get_tells_load() {
        return Ok(None);
    }
    let loads = wire.get_sent()?.iter().map(EngineLoad::try_from);
    loads.collect::<Result<_>>().map(Some)
}

/// A rate that is no number or below 0 would poison every sum it enters.
fn rate(field: &'static str, value: f64) -> Result<f64> {
    if value.is_finite() && value >= 0.0 {
        return Ok(value);
    }
    Err(Error::Field {
        field,
        detail: format!("{value} is no rate"),
    })
}

impl TryFrom<schema::load::Reader<'_>> for EngineLoad {
    type Error = Error;

    fn try_from(wire: schema::load::Reader) -> Result<Self> {
        Ok(Self {
            engine: name("load.engine", wire.get_engine())?,
            at_ms: wire.get_at_ms(),
            prompt_tokens: wire.get_prompt_tokens()?.iter().collect(),
            output_tokens: wire.get_output_tokens(),
            waiting: wire.get_waiting()?.iter().collect(),
            running: wire.get_running(),
        })
    }
}
