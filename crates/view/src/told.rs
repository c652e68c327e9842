//! One datagram of what an instance tells another, and its form on the wire.
//!
//! Upstreams and instances are named by short keys and figures take as few bytes as they need, since
//! datagrams are most of what crosses zones. A form that this process does not know is passed over, as a
//! lost datagram would be: a change of version goes through all instances within seconds.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Fate, InstanceKey, Load, Mark, Member, News, Queue, RANKS, RequestKey, ServiceDemand, Stage,
    UpstreamKey, WorkspaceKey,
};

/// First byte of a datagram; another form has another one.
const FORM: u8 = 7;

/// What a datagram speaks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// One instance, to its hub.
    Report,
    /// A hub and those that report to it, to the other hubs.
    Sum,
    /// All but the receiver, from its hub.
    Digest,
}

/// How far an upstream has come with a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Reading {
    /// It was asked to read it.
    Begun,
    /// It has read it.
    Done,
}

/// A prompt part that an upstream has read or is reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRead {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The part.
    pub part: u64,
    /// Its length.
    pub tokens: u32,
    /// How far the upstream has come with it.
    pub reading: Reading,
}

/// An engine that was ordered to another stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turning {
    /// The engine.
    pub upstream: UpstreamKey,
    /// What it is to do.
    pub stage: Stage,
    /// Time for which it gets no work, unless the list says before that it is there, in ms.
    pub left_ms: u32,
}

/// How many requests a second an upstream takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitTold {
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
    pub origin: u32,
    /// Number of the window.
    pub window: u64,
    /// Requests by workspace.
    pub counts: Vec<(WorkspaceKey, u32)>,
}

/// One datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Told {
    /// Who tells.
    pub from: InstanceKey,
    /// Whom it speaks for.
    pub kind: Kind,
    /// Whether what is told is all there is; else it is what changed since the datagram before.
    pub is_whole: bool,
    /// What they have outstanding, nothing at all included where that is a change.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Parts that they had read lately.
    pub reads: Vec<PartRead>,
    /// Engines that they have ordered to another stage.
    pub turning: Vec<Turning>,
    /// What callers ask of them.
    pub demand: Vec<ServiceDemand>,
    /// Those that are ready and were heard of lately.
    pub alive: Vec<InstanceKey>,
    /// Instances that the receiver may not know, or not as they are now.
    pub members: Vec<Member>,
    /// Fencing token of the last order that the sender gave, if it could give one now.
    pub gives_after: Option<u64>,
    /// Where the list of upstreams stands.
    pub list: Option<Mark>,
    /// Where the configuration stands.
    pub config: Option<Mark>,
    /// Changes of the list of upstreams.
    pub news: Vec<News>,
    /// What became of requests whose upstreams broke off.
    pub fates: Vec<Fate>,
    /// Requests that no upstream is to get any more.
    pub poisonous: Vec<RequestKey>,
    /// Limits that upstreams named lately, or name no more.
    pub limits: Vec<LimitTold>,
    /// Time of day: the sender's own, or in a digest what its hub takes for the fleet's, in ms since 1970.
    pub clock_ms: u64,
    /// Fencing token of the sender's last call for the fleet, if it could make one now.
    pub holds_after: Option<u64>,
    /// What ran for whom.
    pub tallies: Vec<Tally>,
}

impl Told {
    /// A datagram that says nothing yet.
    pub fn new(from: InstanceKey, kind: Kind) -> Self {
        Self {
            from,
            kind,
            is_whole: true,
            loads: Vec::new(),
            reads: Vec::new(),
            turning: Vec::new(),
            demand: Vec::new(),
            alive: Vec::new(),
            members: Vec::new(),
            gives_after: None,
            list: None,
            config: None,
            news: Vec::new(),
            fates: Vec::new(),
            poisonous: Vec::new(),
            limits: Vec::new(),
            clock_ms: 0,
            holds_after: None,
            tallies: Vec::new(),
        }
    }
}

/// Why a datagram cannot be used.
#[derive(Debug, Display, Error)]
pub enum ToldError {
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
    kind: Kind,
    is_whole: bool,
    loads: Vec<WireLoad>,
    reads: Vec<PartRead>,
    turning: Vec<Turning>,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    members: Vec<Member>,
    gives_after: Option<u64>,
    list: Option<Mark>,
    config: Option<Mark>,
    news: Vec<News>,
    fates: Vec<Fate>,
    poisonous: Vec<RequestKey>,
    limits: Vec<LimitTold>,
    clock_ms: u64,
    holds_after: Option<u64>,
    tallies: Vec<Tally>,
}

/// Writes a datagram.
pub fn encode(told: Told) -> Result<Vec<u8>, ToldError> {
    postcard::to_extend(&WireTold::from(told), vec![FORM]).map_err(ToldError::Broken)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Told, ToldError> {
    let form = bytes.first().copied();
    if form != Some(FORM) {
        return Err(ToldError::Form { form });
    }
    let wire: WireTold = postcard::from_bytes(&bytes[1..]).map_err(ToldError::Broken)?;
    Ok(wire.into())
}

impl From<Told> for WireTold {
    fn from(told: Told) -> Self {
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
            is_whole: told.is_whole,
            reads: told.reads,
            turning: told.turning,
            demand: told.demand,
            alive: told.alive,
            members: told.members,
            gives_after: told.gives_after,
            list: told.list,
            config: told.config,
            news: told.news,
            fates: told.fates,
            poisonous: told.poisonous,
            limits: told.limits,
            clock_ms: told.clock_ms,
            holds_after: told.holds_after,
            tallies: told.tallies,
        }
    }
}

impl From<WireTold> for Told {
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
            is_whole: wire.is_whole,
            reads: wire.reads,
            turning: wire.turning,
            demand: wire.demand,
            alive: wire.alive,
            members: wire.members,
            gives_after: wire.gives_after,
            list: wire.list,
            config: wire.config,
            news: wire.news,
            fates: wire.fates,
            poisonous: wire.poisonous,
            limits: wire.limits,
            clock_ms: wire.clock_ms,
            holds_after: wire.holds_after,
            tallies: wire.tallies,
        }
    }
}

/// The ranks at which something waits.
fn waiting(queue: &Queue) -> Vec<(u8, u32)> {
    (0..RANKS as u8)
        .map(|rank| (rank, queue.at(rank).round() as u32))
        .filter(|(_, tokens)| *tokens > 0)
        .collect()
}
