//! One datagram of what an instance tells another, and its form on the wire.
//!
//! Upstreams and instances are named by short keys and figures take as few bytes as they need, since
//! datagrams are most of what crosses zones. A form that this process does not know is passed over, as a
//! lost datagram would be: a change of version goes through all instances within seconds.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    FailureEvidence, GossipedChange, InstanceKey, Load, LogPosition, Member, PrefillQueue, RANKS,
    RequestKey, ServiceDemand, Stage, UpstreamKey, WorkspaceKey,
};

/// First byte of a datagram; another form has another one.
const FORM: u8 = 7;

/// What a datagram speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// One instance, to its hub.
    Report,
    /// A hub and those that report to it, to the other hubs.
    Sum,
    /// All but the receiver, from its hub.
    Digest,
}

/// How far an upstream has come with a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PrefillProgress {
    /// It was asked to read it.
    Begun,
    /// It has read it.
    Done,
}

/// A prompt part that an upstream has read or is reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefilledPart {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The part.
    pub part: u64,
    /// Its length.
    pub tokens: u32,
    /// How far the upstream has come with it.
    #[serde(rename = "reading")]
    pub progress: PrefillProgress,
}

/// An engine that was ordered to another stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingRoleChange {
    /// The engine.
    pub upstream: UpstreamKey,
    /// What it is to do.
    pub stage: Stage,
    /// Time for which it gets no work, unless the list says before that it is there, in ms.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u32,
}

/// How many requests a second an upstream takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimit {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests a second; nothing if it names no limit any more.
    pub per_s: Option<f64>,
    /// When it said so, in ms since 1970; the latest word counts.
    pub at_ms: u64,
}

/// Requests of workspaces that began to run in one window of time, as one instance has counted them so far.
///
/// It only grows, so the greatest that was heard counts, however many datagrams were lost or came twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Life of the instance: a restarted one counts anew.
    #[serde(rename = "origin")]
    pub incarnation: u32,
    /// Number of the window.
    pub window: u64,
    /// Requests by workspace.
    pub counts: Vec<(WorkspaceKey, u32)>,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct GossipMessage {
    /// Who tells.
    pub from: InstanceKey,
    /// Whom it speaks for.
    pub kind: MessageKind,
    /// Whether what is told is all there is; else it is what changed since the datagram before.
    pub is_full: bool,
    /// What they have outstanding, nothing at all included where that is a change.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Parts that they had read lately.
    pub prefilled_parts: Vec<PrefilledPart>,
    /// Engines that they have ordered to another stage.
    pub role_changes: Vec<PendingRoleChange>,
    /// What callers ask of them.
    pub demand: Vec<ServiceDemand>,
    /// Those that are ready and were heard of lately.
    pub alive: Vec<InstanceKey>,
    /// Instances that the receiver may not know, or not as they are now.
    pub members: Vec<Member>,
    /// Fencing token of the last order that the sender gave, if it could give one now.
    pub last_order_token: Option<u64>,
    /// Where the list of upstreams stands.
    pub list_position: Option<LogPosition>,
    /// Where the configuration stands.
    pub config_position: Option<LogPosition>,
    /// Changes of the list of upstreams.
    pub list_changes: Vec<GossipedChange>,
    /// What became of requests whose upstreams broke off.
    pub evidence: Vec<FailureEvidence>,
    /// Requests that no upstream is to get any more.
    pub poison: Vec<RequestKey>,
    /// Limits that upstreams named lately, or name no more.
    pub limits: Vec<UpstreamLimit>,
    /// Time of day: the sender's own, or in a digest what its hub takes for the fleet's, in ms since 1970.
    pub clock_ms: u64,
    /// Fencing token of the sender's last call for the fleet, if it could make one now.
    pub last_task_token: Option<u64>,
    /// What ran for whom.
    pub tallies: Vec<Tally>,
}

impl GossipMessage {
    /// A datagram that says nothing yet.
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
            members: Vec::new(),
            last_order_token: None,
            list_position: None,
            config_position: None,
            list_changes: Vec::new(),
            evidence: Vec::new(),
            poison: Vec::new(),
            limits: Vec::new(),
            clock_ms: 0,
            last_task_token: None,
            tallies: Vec::new(),
        }
    }
}

/// Why a datagram cannot be used.
#[derive(Debug, Display, Error)]
pub enum MessageError {
    /// It is of a form that this process does not know.
    #[display("form {form:?} is not known")]
    Form {
        /// Its first byte, if it has any.
        form: Option<u8>,
    },
    /// It cannot be read or written.
    #[display("{_0}")]
    Broken(postcard::Error),
}

#[derive(Serialize, Deserialize)]
struct WireLoad {
    upstream: UpstreamKey,
    requests: u32,
    context: u32,
    queue: Vec<(u8, u32)>,
}

#[derive(Serialize, Deserialize)]
struct WireTold {
    from: InstanceKey,
    kind: MessageKind,
    is_whole: bool,
    loads: Vec<WireLoad>,
    reads: Vec<PrefilledPart>,
    turning: Vec<PendingRoleChange>,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    members: Vec<Member>,
    gives_after: Option<u64>,
    list: Option<LogPosition>,
    config: Option<LogPosition>,
    news: Vec<GossipedChange>,
    fates: Vec<FailureEvidence>,
    poisonous: Vec<RequestKey>,
    limits: Vec<UpstreamLimit>,
    clock_ms: u64,
    holds_after: Option<u64>,
    tallies: Vec<Tally>,
}

/// Writes a datagram.
pub fn encode(told: GossipMessage) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(&WireTold::from(told), vec![FORM]).map_err(MessageError::Broken)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<GossipMessage, MessageError> {
    let form = bytes.first().copied();
    if form != Some(FORM) {
        return Err(MessageError::Form { form });
    }
    let wire: WireTold = postcard::from_bytes(&bytes[1..]).map_err(MessageError::Broken)?;
    Ok(wire.into())
}

impl From<GossipMessage> for WireTold {
    fn from(told: GossipMessage) -> Self {
        let loads = told.loads.iter().map(|(upstream, load)| WireLoad {
            upstream: *upstream,
            requests: load.requests,
            context: load.context,
            queue: waiting(&load.queue),
        });
        Self {
            loads: loads.collect(),
            from: told.from,
            kind: told.kind,
            is_whole: told.is_full,
            reads: told.prefilled_parts,
            turning: told.role_changes,
            demand: told.demand,
            alive: told.alive,
            members: told.members,
            gives_after: told.last_order_token,
            list: told.list_position,
            config: told.config_position,
            news: told.list_changes,
            fates: told.evidence,
            poisonous: told.poison,
            limits: told.limits,
            clock_ms: told.clock_ms,
            holds_after: told.last_task_token,
            tallies: told.tallies,
        }
    }
}

impl From<WireTold> for GossipMessage {
    fn from(wire: WireTold) -> Self {
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
            is_full: wire.is_whole,
            prefilled_parts: wire.reads,
            role_changes: wire.turning,
            demand: wire.demand,
            alive: wire.alive,
            members: wire.members,
            last_order_token: wire.gives_after,
            list_position: wire.list,
            config_position: wire.config,
            list_changes: wire.news,
            evidence: wire.fates,
            poison: wire.poisonous,
            limits: wire.limits,
            clock_ms: wire.clock_ms,
            last_task_token: wire.holds_after,
            tallies: wire.tallies,
        }
    }
}

/// The ranks at which something waits.
fn waiting(queue: &PrefillQueue) -> Vec<(u8, u32)> {
    (0..RANKS as u8)
        .map(|rank| (rank, queue.at(rank).round() as u32))
        .filter(|(_, tokens)| *tokens > 0)
        .collect()
}
