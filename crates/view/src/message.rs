//! The gossip datagram and its wire format.
//!
//! Upstreams and instances have short keys and integers a variable length, because datagrams are
//! most of the traffic between zones. A datagram in an unknown format is ignored like a lost one; a
//! change of version takes only seconds to pass through all instances.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::sections::Sections;
use crate::{
    EngineTimeTally, FailureEvidence, GossipedChange, InstanceKey, Load, LogPosition, Member,
    PartEvidence, PrefillQueue, RANKS, RequestKey, ServiceDemand, ServiceKey, Stage, TrialNews,
    UpstreamKey, WorkspaceKey,
};

/// Version of the wire format, in the first byte of each datagram.
const FORMAT: u8 = 10;

/// Whose state a datagram describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageKind {
    /// One instance; sent to its hub.
    Report,
    /// A hub and its reporters; sent to the other hubs.
    Sum,
    /// The whole fleet except the receiver; sent by its hub.
    Digest,
}

/// Progress of an upstream with the prefill of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PrefillProgress {
    /// The part was sent to the upstream.
    Begun,
    /// The upstream has processed the part.
    Done,
}

/// A prompt part that an upstream has processed or is processing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefilledPart {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Hash that identifies the part.
    pub part: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
    /// How far the upstream has come.
    #[serde(rename = "reading")]
    pub progress: PrefillProgress,
}

/// An engine that was ordered to change its role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRoleChange {
    /// The engine.
    pub upstream: UpstreamKey,
    /// The stage that it changes to.
    pub stage: Stage,
    /// Time for which it still gets no work, in ms; it ends earlier if the list shows the new
    /// stage.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u32,
}

/// How many requests a second an upstream accepts from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimit {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests a second; `None` if the upstream has withdrawn its limit.
    pub per_s: Option<f64>,
    /// When the upstream set or withdrew the limit, in ms since 1970. The latest value counts.
    pub at_ms: u64,
}

/// What is known of the pace of an upstream: the time that work takes there, in percent of the usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The lasting pace; 0 while it is unknown.
    pub lasting_percent: u16,
    /// The pace that it last reported; 0 if it has reported none.
    pub current_percent: u16,
    /// Time since it reported that, in ms.
    pub age_ms: u32,
    /// Time for which it has been silent beyond what is explained, in ms; 0 if it is not.
    pub silent_ms: u32,
}

/// An instance that reaches no upstream of a service, whether or not others do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Unreached {
    /// The instance.
    pub instance: InstanceKey,
    /// The service.
    pub service: ServiceKey,
}

/// How long ago any of the instances that a datagram speaks for heard an upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHeard {
    /// The service.
    pub service: ServiceKey,
    /// Time since then, in ms.
    pub age_ms: u32,
}

/// Requests of each workspace that started in one time window, as one instance has counted them so
/// far.
///
/// Counts only grow, so the largest tally received is the valid one, however many datagrams were
/// lost or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Number of the instance's incarnation; a restarted instance counts from zero.
    #[serde(rename = "origin")]
    pub incarnation: u32,
    /// Number of the window.
    pub window: u64,
    /// Started requests by workspace.
    pub counts: Vec<(WorkspaceKey, u32)>,
}

/// A gossip datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// The sender.
    pub from: InstanceKey,
    /// Whose state it describes.
    pub kind: MessageKind,
    /// Whether `loads` has all loads, or only those that changed since the previous datagram.
    pub is_full: bool,
    /// Outstanding load by upstream; an empty load means that nothing is outstanding any more.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Prompt parts sent to prefill lately.
    pub prefilled_parts: Vec<PrefilledPart>,
    /// Engines that were ordered to change their role.
    pub role_changes: Vec<PendingRoleChange>,
    /// Demand of their callers.
    pub demand: Vec<ServiceDemand>,
    /// Ready instances that are alive, as far as the sender knows.
    pub alive: Vec<InstanceKey>,
    /// Instances among them that reach no upstream of a service; told with `alive`.
    pub unreached: Vec<Unreached>,
    /// When they last heard upstreams; told with `alive`.
    pub heard: Vec<ServiceHeard>,
    /// Heartbeat records that may be new to the receiver.
    pub members: Vec<Member>,
    /// Fencing token of the sender's last order; `None` if it could not give one now.
    pub last_order_token: Option<u64>,
    /// The sender's position in the log of the list of upstreams.
    pub list_position: Option<LogPosition>,
    /// The sender's position in the log of the configuration.
    pub config_position: Option<LogPosition>,
    /// Recent changes to the list of upstreams.
    pub list_changes: Vec<GossipedChange>,
    /// Evidence for failure attribution.
    pub evidence: Vec<FailureEvidence>,
    /// Evidence on prompt parts that may end upstreams.
    pub part_evidence: Vec<PartEvidence>,
    /// Poison requests, which must not be sent to any upstream.
    pub poison: Vec<RequestKey>,
    /// Limits that upstreams named or withdrew lately.
    pub limits: Vec<UpstreamLimit>,
    /// Wall-clock time in ms since 1970: the sender's own, or in a digest the hub's estimate of the
    /// fleet's.
    pub clock_ms: u64,
    /// Fencing token of the sender's last call as fleet leader; `None` if it could not make one
    /// now.
    pub last_task_token: Option<u64>,
    /// Usage counts that changed lately.
    pub tallies: Vec<Tally>,
    /// Paces of upstreams.
    pub paces: Vec<PaceReport>,
    /// Engine time of workspaces that changed lately.
    pub engine_times: Vec<EngineTimeTally>,
    /// Trials of requests under which upstreams ended.
    pub trials: Vec<TrialNews>,
    /// Numbers of trials so far, of those in `poison` that were tried.
    pub trial_counts: Vec<(RequestKey, u8)>,
}

impl GossipMessage {
    /// A full datagram without any content.
    pub fn new(from: InstanceKey, kind: MessageKind) -> Self {
        Self {
            from,
            kind,
            is_full: true,
            loads: Vec::new(),
            prefilled_parts: Vec::new(),
            role_changes: Vec::new(),
            demand: Vec::new(),
            alive: Vec::new(),
            unreached: Vec::new(),
            heard: Vec::new(),
            members: Vec::new(),
            last_order_token: None,
            list_position: None,
            config_position: None,
            list_changes: Vec::new(),
            evidence: Vec::new(),
            part_evidence: Vec::new(),
            poison: Vec::new(),
            limits: Vec::new(),
            clock_ms: 0,
            last_task_token: None,
            tallies: Vec::new(),
            paces: Vec::new(),
            engine_times: Vec::new(),
            trials: Vec::new(),
            trial_counts: Vec::new(),
        }
    }
}

/// Why a datagram cannot be decoded or encoded.
#[derive(Debug, Display, Error)]
pub enum MessageError {
    /// Its wire format is unknown to this process.
    #[display("unknown datagram format {format:?}")]
    UnknownFormat {
        /// The first byte; `None` if the datagram is empty.
        format: Option<u8>,
    },
    /// Its content is malformed.
    #[display("{_0}")]
    Malformed(postcard::Error),
}

#[derive(Serialize, Deserialize)]
struct WireLoad {
    upstream: UpstreamKey,
    requests: u32,
    context: u32,
    queue: Vec<(u8, u32)>,
}

#[derive(Serialize, Deserialize)]
struct WireMessage {
    from: InstanceKey,
    kind: MessageKind,
    #[serde(rename = "is_whole")]
    is_full: bool,
    loads: Vec<WireLoad>,
    #[serde(rename = "reads")]
    prefilled_parts: Vec<PrefilledPart>,
    #[serde(rename = "turning")]
    role_changes: Vec<PendingRoleChange>,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    unreached: Vec<Unreached>,
    heard: Vec<ServiceHeard>,
    members: Vec<Member>,
    #[serde(rename = "gives_after")]
    last_order_token: Option<u64>,
    #[serde(rename = "list")]
    list_position: Option<LogPosition>,
    #[serde(rename = "config")]
    config_position: Option<LogPosition>,
    #[serde(rename = "news")]
    list_changes: Vec<GossipedChange>,
    #[serde(rename = "fates")]
    evidence: Vec<FailureEvidence>,
    part_evidence: Vec<PartEvidence>,
    #[serde(rename = "poisonous")]
    poison: Vec<RequestKey>,
    limits: Vec<UpstreamLimit>,
    clock_ms: u64,
    #[serde(rename = "holds_after")]
    last_task_token: Option<u64>,
    tallies: Vec<Tally>,
}

/// Encodes a datagram.
pub fn encode(mut message: GossipMessage) -> Result<Vec<u8>, MessageError> {
    let sections = Sections::take(&mut message);
    let bytes = postcard::to_extend(&WireMessage::from(message), vec![FORMAT])
        .map_err(MessageError::Malformed)?;
    sections.append_to(bytes)
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, MessageError> {
    let format = bytes.first().copied();
    if format != Some(FORMAT) {
        return Err(MessageError::UnknownFormat { format });
    }
    let (wire, rest): (WireMessage, &[u8]) =
        postcard::take_from_bytes(&bytes[1..]).map_err(MessageError::Malformed)?;
    let mut message = GossipMessage::from(wire);
    Sections::read(rest).put_into(&mut message);
    Ok(message)
}

impl From<GossipMessage> for WireMessage {
    fn from(message: GossipMessage) -> Self {
        let loads = message.loads.iter().map(|(upstream, load)| WireLoad {
            upstream: *upstream,
            requests: load.requests,
            context: load.context,
            queue: tokens_by_rank(&load.queue),
        });
        Self {
            loads: loads.collect(),
            from: message.from,
            kind: message.kind,
            is_full: message.is_full,
            prefilled_parts: message.prefilled_parts,
            role_changes: message.role_changes,
            demand: message.demand,
            alive: message.alive,
            unreached: message.unreached,
            heard: message.heard,
            members: message.members,
            last_order_token: message.last_order_token,
            list_position: message.list_position,
            config_position: message.config_position,
            list_changes: message.list_changes,
            evidence: message.evidence,
            part_evidence: message.part_evidence,
            poison: message.poison,
            limits: message.limits,
            clock_ms: message.clock_ms,
            last_task_token: message.last_task_token,
            tallies: message.tallies,
        }
    }
}

impl From<WireMessage> for GossipMessage {
    fn from(wire: WireMessage) -> Self {
        let loads = wire.loads.iter().map(|each| {
            let load = Load {
                requests: each.requests,
                queue: each.queue.iter().copied().collect(),
                context: each.context,
            };
            (each.upstream, load)
        });
        Self {
            loads: loads.collect(),
            from: wire.from,
            kind: wire.kind,
            is_full: wire.is_full,
            prefilled_parts: wire.prefilled_parts,
            role_changes: wire.role_changes,
            demand: wire.demand,
            alive: wire.alive,
            unreached: wire.unreached,
            heard: wire.heard,
            members: wire.members,
            last_order_token: wire.last_order_token,
            list_position: wire.list_position,
            config_position: wire.config_position,
            list_changes: wire.list_changes,
            evidence: wire.evidence,
            part_evidence: wire.part_evidence,
            poison: wire.poison,
            limits: wire.limits,
            clock_ms: wire.clock_ms,
            last_task_token: wire.last_task_token,
            tallies: wire.tallies,
            paces: Vec::new(),
            engine_times: Vec::new(),
            trials: Vec::new(),
            trial_counts: Vec::new(),
        }
    }
}

/// Waiting tokens by rank, without the empty ranks.
fn tokens_by_rank(queue: &PrefillQueue) -> Vec<(u8, u32)> {
    (0..RANKS as u8)
        .map(|rank| (rank, queue.at(rank).round() as u32))
        .filter(|(_, tokens)| *tokens > 0)
        .collect()
}
