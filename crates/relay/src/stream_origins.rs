//! Finds out which version began a stream that a caller takes up, and keeps the records of other instances' streams.
//!
//! While several versions of a service serve, an instance tells two others of each stream that it begins, before it
//! passes on the first event: its caller may come back because the instance was killed right after. The id of the
//! attempt names them, so that any instance knows whom to ask. One of them appends it to a log in the store, which
//! outlives all instances. What follows from their answers is decided in [`plan::origin_version`]. See
//! docs/design/stream-versions.md.

mod history;
mod log;
mod told;

use std::cell::{Cell, RefCell};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ::log::{debug, error, info};
use plan::{OriginEvidence, Unrecorded, origin_version};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use view::stream_origin::{Candidate, homes};
use view::{
    InstanceKey, OriginMessage, ServiceKey, StreamKey, ToldOrigin, VersionKey, stream_origin,
};

use history::VersionHistory;
pub use history::{MalformedStoredVersion, StoredVersion};
pub use log::LogStep;
use log::{StoreWord, StreamLog};
use told::ToldStreams;

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::relay::Relay;

/// Instances that are told of a stream, besides the one that begins it.
const HOMES: usize = 2;

/// Instances that are asked: the one that began it may be among the first ones, too.
const MAX_ASKED: usize = HOMES + 1;

/// Time for which a record is kept, in ms: longer than callers wait for any stream.
const KEEP_MS: u64 = 60_000;

/// Time after which a query is sent once more, in ms: a few round trips between availability zones.
const RESEND_MS: u64 = 40;

/// Time after which instances that have not answered are waited for no longer, in ms.
const ANSWER_TIMEOUT_MS: u64 = 150;

/// Age of the list of upstreams from which an instance that no other one answers does not trust it alone, in ms.
const MAX_LIST_AGE_MS: u64 = 3_000;

/// Retry delay sent to a caller of whose stream no instance that replied can tell the origin, in ms: another one may.
const UNKNOWN_RETRY_MS: u64 = 500;

type Evidence = OriginEvidence<VersionKey>;

/// What an instance replied.
type Reply = (SocketAddr, Evidence);

/// What instances say of a stream.
struct Gathered {
    evidence: Vec<Evidence>,
    /// Whether an instance that was asked gave no reply, so that more may be known later.
    is_partial: bool,
}

impl Gathered {
    fn is_recorded(&self) -> bool {
        let is_recorded = |each: &Evidence| matches!(each, OriginEvidence::Recorded(_));
        self.evidence.iter().any(is_recorded)
    }
}

/// A stream that runs here, until this is dropped.
pub(crate) struct RunningStream {
    relay: Rc<Relay>,
    stream: StreamKey,
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        let mut running = self.relay.stream_origins.running.borrow_mut();
        running.remove(&self.stream);
    }
}

/// Whether a record names a version.
fn is_sure(evidence: &Evidence) -> bool {
    matches!(evidence, OriginEvidence::Recorded(version) if *version != VersionKey::UNKNOWN)
}

/// What goes to a peer that asks.
fn told(evidence: Evidence) -> ToldOrigin {
    match evidence {
        OriginEvidence::Recorded(version) => ToldOrigin::Recorded(version),
        OriginEvidence::Unrecorded(Unrecorded::Unknown) => ToldOrigin::Unknown,
        OriginEvidence::Unrecorded(Unrecorded::Only(version)) => ToldOrigin::Only(version),
        OriginEvidence::Unrecorded(Unrecorded::Before(version)) => ToldOrigin::Before(version),
        OriginEvidence::Unrecorded(Unrecorded::Several) => ToldOrigin::Several,
    }
}

/// What a peer told.
fn evidence(told: ToldOrigin) -> Evidence {
    OriginEvidence::Unrecorded(match told {
        ToldOrigin::Recorded(version) => return OriginEvidence::Recorded(version),
        ToldOrigin::Unknown => Unrecorded::Unknown,
        ToldOrigin::Only(version) => Unrecorded::Only(version),
        ToldOrigin::Before(version) => Unrecorded::Before(version),
        ToldOrigin::Several => Unrecorded::Several,
    })
}

/// A query that waits for replies. It is forgotten when dropped, also if the caller leaves meanwhile.
struct WaitingQuery<'a> {
    origins: &'a StreamOrigins,
    number: u32,
    replies: UnboundedReceiver<Reply>,
}

impl Drop for WaitingQuery<'_> {
    fn drop(&mut self) {
        self.origins.queries.borrow_mut().remove(&self.number);
    }
}

/// Records of streams, and queries that wait for their answers.
#[derive(Default)]
pub struct StreamOrigins {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    records: RefCell<HashMap<StreamKey, VersionKey>>,
    /// Records by age, oldest first.
    ages: RefCell<VecDeque<(u64, StreamKey)>>,
    queries: RefCell<HashMap<u32, UnboundedSender<Reply>>>,
    last_query: Cell<u32>,
    /// Streams that run here, each with its service and version.
    running: RefCell<HashMap<StreamKey, (ServiceKey, VersionKey)>>,
    history: VersionHistory,
    log: StreamLog,
    told: ToldStreams,
}

impl StreamOrigins {
    /// Sets the socket from which datagrams are sent.
    pub(crate) fn attach(&self, socket: &Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(Rc::clone(socket));
    }

    fn send(&self, peer: SocketAddr, message: &OriginMessage) {
        let socket = self.socket.borrow();
        let Some(socket) = socket.as_ref() else {
            return;
        };
        match stream_origin::encode(message) {
            // A lost datagram is one of two records, or is asked for again.
            Ok(bytes) => {
                if let Err(error) = socket.try_send_to(&bytes, peer) {
                    debug!(peer:%, error:%; "datagram about a stream could not be sent");
                }
            }
            Err(error) => error!(error:%; "datagram about a stream could not be encoded"),
        }
    }

    fn record(&self, now_ms: u64, stream: StreamKey, version: VersionKey) {
        let (mut records, mut ages) = (self.records.borrow_mut(), self.ages.borrow_mut());
        while let Some(&(at_ms, oldest)) = ages.front() {
            if now_ms < at_ms + KEEP_MS {
                break;
            }
            records.remove(&oldest);
            ages.pop_front();
        }
        match records.entry(stream) {
            // A version is told once it is sure, so a doubt that arrives later is older.
            Entry::Occupied(_) if version == VersionKey::UNKNOWN => {}
            Entry::Occupied(mut known) => {
                known.insert(version);
            }
            Entry::Vacant(unknown) => {
                unknown.insert(version);
                ages.push_back((now_ms, stream));
            }
        }
    }

    /// Number of streams of which a record is kept.
    pub fn len(&self) -> usize {
        self.records.borrow().len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn recorded(&self, stream: StreamKey) -> Option<VersionKey> {
        self.records.borrow().get(&stream).copied()
    }

    fn receive_evidence(&self, number: u32, peer: SocketAddr, evidence: Evidence) {
        if let Some(waiting) = self.queries.borrow().get(&number) {
            // The query may have ended just now.
            let _ = waiting.send((peer, evidence));
        }
    }

    fn begin_query(&self) -> WaitingQuery<'_> {
        let number = self.last_query.get().wrapping_add(1);
        self.last_query.set(number);
        let (sender, replies) = unbounded_channel();
        self.queries.borrow_mut().insert(number, sender);
        WaitingQuery {
            origins: self,
            number,
            replies,
        }
    }
}

impl Relay {
    /// Tells other instances which version began a stream, if it is not the only one that serves.
    pub(crate) fn tell_stream_began(&self, call: &Call, version: VersionKey) {
        if self.are_versions_mixed(ServiceKey::of(&call.service)) || call.is_origin_told.get() {
            self.tell_origin(call, version);
        }
    }

    /// Tells other instances that it is not known yet which version began a stream.
    ///
    /// They would take the one that they know of, if it is the only one.
    pub(crate) fn tell_origin_unknown(&self, call: &Call) {
        if !call.is_origin_told.replace(true) {
            self.tell_origin(call, VersionKey::UNKNOWN);
        }
    }

    fn tell_origin(&self, call: &Call, version: VersionKey) {
        if call.route.is_retryable() {
            self.tell_homes(StreamKey(call.id_hash), version);
        }
    }

    /// Records which version began a stream, here and at the instances that keep its record.
    fn tell_homes(&self, stream: StreamKey, version: VersionKey) {
        let origins = &self.stream_origins;
        let now_ms = self.now_ms();
        origins.record(now_ms, stream, version);
        let homes = self.homes(stream);
        let told = homes.iter().filter_map(|home| *home).take(HOMES);
        if homes.first() == Some(&None) || homes.is_empty() {
            origins.log.add(now_ms, stream, version);
        }
        let recorder = homes.first().copied().flatten();
        if let Some(recorder) = recorder {
            origins.told.add(now_ms, stream, version, recorder);
        }
        for home in told {
            let message = if recorder == Some(home) {
                OriginMessage::Record { stream, version }
            } else {
                OriginMessage::Began { stream, version }
            };
            origins.send(home, &message);
        }
    }

    /// Tells again of the streams whose recorder is not reachable any more.
    fn tell_lost_streams(&self) {
        let members = self.members.borrow();
        let reachable: HashSet<SocketAddr> = members
            .reachable()
            .filter_map(|member| member.gossip_address)
            .collect();
        drop(members);
        let told = &self.stream_origins.told;
        let lost = told.take_lost(self.now_ms(), |recorder| reachable.contains(recorder));
        if !lost.is_empty() {
            info!(streams = lost.len(); "streams are told again: their recorder is gone");
        }
        for (stream, version) in lost {
            self.tell_homes(stream, version);
        }
    }

    /// Notes a stream that runs here, until it is dropped. One that its caller took up is known by the attempt that began
    /// it.
    pub(crate) fn stream_runs(self: &Rc<Self>, call: &Call, version: VersionKey) -> RunningStream {
        let began_as = call.head.resumes.as_ref();
        let stream = match began_as.filter(|_| call.head.last_event.is_some()) {
            Some(attempt) => StreamKey::of(attempt.as_bytes()),
            None => StreamKey(call.id_hash),
        };
        if call.route.is_retryable() {
            let service = ServiceKey::of(&call.service);
            let mut running = self.stream_origins.running.borrow_mut();
            running.insert(stream, (service, version));
        }
        RunningStream {
            relay: Rc::clone(self),
            stream,
        }
    }

    /// Tells of the streams of a service that run here.
    fn tell_running_streams(&self, service: ServiceKey) {
        let running = self.stream_origins.running.borrow();
        let of_service = running.iter().filter(|(_, (of, _))| *of == service);
        let all: Vec<(StreamKey, VersionKey)> = of_service
            .map(|(stream, (_, version))| (*stream, *version))
            .collect();
        drop(running);
        for (stream, version) in all {
            self.tell_homes(stream, version);
        }
    }

    /// The instances that come first for a stream, in the order in which they are told and asked: the one that appends to
    /// the store's log, and others. None stands for this instance.
    fn homes(&self, stream: StreamKey) -> Vec<Option<SocketAddr>> {
        let own = InstanceKey::of(&self.settings.borrow().name);
        let members = self.members.borrow();
        let candidates: Vec<Candidate<Option<SocketAddr>>> = members
            .reachable()
            .filter_map(|member| {
                let key = InstanceKey::of(&member.name);
                let value = member.gossip_address.filter(|_| key != own);
                let candidate = Candidate {
                    key,
                    zone: &member.zone,
                    value,
                };
                (key == own || value.is_some()).then_some(candidate)
            })
            .collect();
        let homes = homes(stream, &candidates, MAX_ASKED + 1);
        homes.into_iter().map(|home| home.value).collect()
    }

    /// What this instance itself knows of a stream.
    fn own_evidence(&self, stream: StreamKey, service: ServiceKey) -> Evidence {
        if let Some(version) = self.stream_origins.recorded(stream) {
            return OriginEvidence::Recorded(version);
        }
        OriginEvidence::Unrecorded(self.unrecorded(service))
    }

    /// Handles a datagram of a peer.
    pub(crate) fn receive_origin(&self, message: &OriginMessage, peer: SocketAddr) {
        let origins = &self.stream_origins;
        match *message {
            OriginMessage::Began { stream, version } => {
                origins.record(self.now_ms(), stream, version);
            }
            OriginMessage::Record { stream, version } => {
                origins.record(self.now_ms(), stream, version);
                origins.log.add(self.now_ms(), stream, version);
            }
            OriginMessage::Ask {
                number,
                stream,
                service,
            } => {
                let told = told(self.own_evidence(stream, service));
                origins.send(peer, &OriginMessage::Answer { number, told });
            }
            OriginMessage::Answer { number, told } => {
                origins.receive_evidence(number, peer, evidence(told));
            }
            // An instance of an older build takes a named version for certain.
            OriginMessage::Query {
                number,
                stream,
                service,
            } => {
                let (recorded, unrecorded) = match self.own_evidence(stream, service) {
                    OriginEvidence::Recorded(version) => (Some(version), None),
                    OriginEvidence::Unrecorded(Unrecorded::Only(version)) => (None, Some(version)),
                    OriginEvidence::Unrecorded(_) => (None, None),
                };
                let reply = OriginMessage::Reply {
                    number,
                    recorded,
                    unrecorded,
                };
                origins.send(peer, &reply);
            }
            // It does not say since when it knows.
            OriginMessage::Reply {
                number, recorded, ..
            } => {
                let evidence = recorded.map_or(
                    OriginEvidence::Unrecorded(Unrecorded::Unknown),
                    OriginEvidence::Recorded,
                );
                origins.receive_evidence(number, peer, evidence);
            }
        }
    }

    /// What this instance and those that keep the stream's record know of it.
    async fn gather_evidence(&self, stream: StreamKey, service: ServiceKey) -> Gathered {
        let mut all = vec![self.own_evidence(stream, service)];
        let homes = self.homes(stream);
        let homes: Vec<SocketAddr> = homes.into_iter().flatten().take(MAX_ASKED).collect();
        if homes.is_empty() || matches!(all[0], OriginEvidence::Recorded(_)) {
            return Gathered {
                evidence: all,
                is_partial: false,
            };
        }
        // Where one version serves, one instance that sees the same is enough: others may have been killed just now.
        // While the list is late, other instances may have been told of a version that it does not name.
        let is_settled = self.is_list_settled();
        let is_one_enough = is_settled && !self.are_versions_mixed(service);
        let asked = self.ask_homes(stream, service, &homes, is_one_enough);
        all.extend(asked.await);
        let are_replies_missing = all.len() <= homes.len();
        let is_list_late = self
            .list_age_ms()
            .is_none_or(|age_ms| age_ms > MAX_LIST_AGE_MS);
        // A version is told once it is sure, so a doubt beside it is older.
        if all.iter().any(is_sure) {
            all.retain(is_sure);
        }
        let is_recorded = |each: &Evidence| matches!(each, OriginEvidence::Recorded(_));
        let is_record_missing = !all.iter().any(is_recorded) && are_replies_missing;
        if all.len() == 1 && is_list_late || !is_settled && is_record_missing {
            // Others may use versions of which this instance has not heard.
            all.clear();
        }
        Gathered {
            evidence: all,
            is_partial: are_replies_missing,
        }
    }

    /// What is known of a stream whose caller does not name the attempt that began it.
    fn evidence_of_unnamed(&self, service: ServiceKey) -> Gathered {
        let evidence = if self.are_versions_mixed(service) {
            Vec::new()
        } else {
            vec![OriginEvidence::Unrecorded(self.unrecorded(service))]
        };
        Gathered {
            evidence,
            is_partial: false,
        }
    }

    /// What the given instances reply, until one has a record, enough have replied, or it takes too long.
    async fn ask_homes(
        &self,
        stream: StreamKey,
        service: ServiceKey,
        homes: &[SocketAddr],
        is_one_enough: bool,
    ) -> Vec<Evidence> {
        let enough = if is_one_enough { 1 } else { homes.len() };
        let mut waiting = self.stream_origins.begin_query();
        let query = OriginMessage::Ask {
            number: waiting.number,
            stream,
            service,
        };
        let mut replied: HashMap<SocketAddr, Evidence> = HashMap::new();
        for wait_ms in [RESEND_MS, ANSWER_TIMEOUT_MS - RESEND_MS] {
            for home in homes.iter().filter(|home| !replied.contains_key(home)) {
                self.stream_origins.send(*home, &query);
            }
            let wait = actix_rt::time::sleep(Duration::from_millis(wait_ms));
            tokio::pin!(wait);
            loop {
                let (home, evidence) = tokio::select! {
                    Some(reply) = waiting.replies.recv() => reply,
                    () = &mut wait => break,
                };
                replied.insert(home, evidence);
                let is_recorded = matches!(evidence, OriginEvidence::Recorded(_));
                if is_recorded || replied.len() >= enough {
                    return replied.into_values().collect();
                }
            }
        }
        replied.into_values().collect()
    }
}

/// Finds out which version began the stream that a call takes up, and binds the call to it; refuses the call as not run
/// if that cannot be told.
pub async fn bind_to_origin(relay: &Relay, call: &Call) -> Result<(), Refusal> {
    let is_taken_up = call.head.last_event.is_some() && call.route.is_retryable();
    if !is_taken_up || call.began_version.get().is_some() {
        return Ok(());
    }
    let service = ServiceKey::of(&call.service);
    let mut gathered = gather(relay, call, service).await;
    let mut origin = origin_version(&gathered.evidence, !gathered.is_partial);
    if origin.is_none() && !gathered.is_recorded() {
        match relay.await_store(service).await {
            StoreWord::Told => {
                gathered = gather(relay, call, service).await;
                origin = origin_version(&gathered.evidence, !gathered.is_partial);
            }
            StoreWord::Away => gathered.is_partial = true,
            StoreWord::Nothing => {}
        }
    }
    let Some(version) = origin.filter(|version| *version != VersionKey::UNKNOWN) else {
        // A doubt ends as soon as the engine has said which incarnation it is.
        gathered.is_partial |= origin.is_some();
        return Err(refuse_unknown(relay, call, &gathered));
    };
    log_origin(relay, call, version, &gathered);
    call.began_version.set(Some(version));
    Ok(())
}

async fn gather(relay: &Relay, call: &Call, service: ServiceKey) -> Gathered {
    match &call.head.resumes {
        Some(attempt) => {
            let stream = StreamKey::of(attempt.as_bytes());
            relay.gather_evidence(stream, service).await
        }
        None => relay.evidence_of_unnamed(service),
    }
}

/// Logs what the origin of a stream that is taken up rests on, with how long this instance has run: one that has just
/// started knows less than its peers.
fn log_origin(relay: &Relay, call: &Call, version: VersionKey, gathered: &Gathered) {
    if !relay.success_log_limit.take(relay.now_ms()) {
        return;
    }
    let resumes = call.head.resumes.as_ref().and_then(|id| id.to_str().ok());
    info!(
        request = call.id(), resumes = resumes.unwrap_or("-"), service = call.service, version = version.0,
        evidence:? = gathered.evidence, is_partial = gathered.is_partial, up_ms = relay.now_ms();
        "origin of a stream that is taken up was found"
    );
}

/// Refuses a stream of unknown origin. Once all that could have a record have replied, no time to come back would help.
fn refuse_unknown(relay: &Relay, call: &Call, gathered: &Gathered) -> Refusal {
    let Gathered {
        evidence,
        is_partial,
    } = gathered;
    if relay.failure_log_limit.take(relay.now_ms()) {
        let resumes = call.head.resumes.as_ref().and_then(|id| id.to_str().ok());
        let replies = evidence.len().saturating_sub(1);
        info!(
            request = call.id(), resumes = resumes.unwrap_or("-"), service = call.service, replies, is_partial,
            evidence:? = evidence, up_ms = relay.now_ms();
            "stream not taken up: no instance can tell which version began it"
        );
    }
    if *is_partial {
        Refusal::with_retry_after(Reason::UnknownOrigin, UNKNOWN_RETRY_MS)
    } else {
        Refusal::new(Reason::UnknownOrigin)
    }
}
