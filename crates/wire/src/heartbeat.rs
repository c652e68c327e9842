//! Heartbeats between instances.

use crate::codec::read_text;
use crate::peer_capnp::{self as schema, Condition as WireCondition};
use crate::{Error, Result};

/// Lifecycle state of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub enum Condition {
    /// It has not yet learned the state of the log, from the log or from a peer.
    #[default]
    Starting,
    /// It serves requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Leaving,
}

/// Load that an instance has sent to an engine, which the engine's own report may not yet
/// include.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineLoad {
    /// Name of the engine.
    pub engine: String,
    /// Time on the sender's monotonic clock.
    pub at_ms: u64,
    /// Prompt tokens of the requests that wait for their first output token, by class rank.
    pub prompt_tokens: Vec<u64>,
    /// Output tokens that are still expected.
    pub output_tokens: u64,
    /// Requests that wait for their first output token, by class rank.
    pub waiting: Vec<u64>,
    /// Requests that are producing output.
    pub running: u64,
}

/// The state that an instance sends to its peers.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Name of the instance.
    pub instance: String,
    /// Random number that the process chose at its start.
    pub incarnation: u64,
    /// Availability zone of the instance.
    pub zone: String,
    /// Lifecycle state.
    pub condition: Condition,
    /// Offset of the first record of the log that it has not applied.
    pub applied_offset: u64,
    /// Current epoch of the instance, which its idempotency keys include.
    pub epoch: u64,
    /// Address for callers.
    pub caller_address: String,
    /// Load that it has sent to each engine; `None` leaves the load of the previous heartbeat in
    /// effect.
    pub sent_load: Option<Vec<EngineLoad>>,
    /// Version of the bundle in force at the instance.
    pub bundle_version: u64,
    /// Prompt tokens that arrive at the instance, per ms.
    pub prompt_rate: f64,
    /// Output tokens that its callers request, per ms.
    pub output_rate: f64,
}

impl Heartbeat {
    /// Encodes the heartbeat as one framed message.
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

    /// Writes the heartbeat into a message.
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
        let mut wire_loads = out.init_sent(loads.len() as u32);
        for (index, load) in loads.iter().enumerate() {
            let mut out = wire_loads.reborrow().get(index as u32);
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
            instance: read_text("beat.instance", wire.get_instance())?,
            incarnation: wire.get_incarnation(),
            zone: read_text("beat.zone", wire.get_zone())?,
            condition: wire.get_condition()?.into(),
            applied_offset: wire.get_applied_offset(),
            epoch: wire.get_epoch(),
            caller_address: read_text("beat.callerAddress", wire.get_caller_address())?,
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

/// Checks a rate: a negative or non-finite value would corrupt every sum that includes it.
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
            engine: read_text("load.engine", wire.get_engine())?,
            at_ms: wire.get_at_ms(),
            prompt_tokens: wire.get_prompt_tokens()?.iter().collect(),
            output_tokens: wire.get_output_tokens(),
            waiting: wire.get_waiting()?.iter().collect(),
            running: wire.get_running(),
        })
    }
}
