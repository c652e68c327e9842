//! Where the events of a stream come from.

use std::rc::Rc;

use hyper::body::Incoming;
use view::VersionKey;

use crate::attribution::note_lost_answer;
use crate::call::Call;
use crate::engine_process::is_from_listed;
use crate::framing::Framing;
use crate::handover::AtPeer;
use crate::pool::{Exchanged, PooledConnection};
use crate::relay::Relay;
use crate::upstream::{InFlight, Upstream};

/// Where a stream comes from.
pub enum StreamOrigin {
    /// An engine.
    Engine(InFlight),
    /// A peer that serves the request for this instance.
    Peer(AtPeer),
}

impl StreamOrigin {
    /// Name of the engine or the peer.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Engine(guard) => &guard.upstream().id,
            Self::Peer(at_peer) => &at_peer.name,
        }
    }

    /// Version of the engine that serves the stream, if it is known.
    pub(super) fn version(&self) -> Option<VersionKey> {
        match self {
            Self::Engine(guard) => Some(guard.upstream().version_key),
            Self::Peer(at_peer) => at_peer.version,
        }
    }

    pub(super) fn engine(&self) -> Option<Rc<Upstream>> {
        match self {
            Self::Engine(guard) => Some(Rc::clone(guard.upstream())),
            Self::Peer(_) => None,
        }
    }

    pub(super) fn note_activity(&self, now_ms: u64) {
        if let Self::Engine(guard) = self {
            guard.upstream().note_activity(now_ms);
        }
    }

    pub(super) fn note_failure(&self, now_ms: u64) {
        if let Self::Engine(guard) = self {
            guard.upstream().note_failure(now_ms);
        }
    }

    /// Reports a lost connection to the failure attribution; the peer does so for its own.
    pub(super) fn note_lost_answer(&self, relay: &Rc<Relay>, call: &Call) {
        if let Self::Engine(guard) = self {
            note_lost_answer(relay, call, guard.upstream());
        }
    }

    pub(super) fn record_answered(&self, relay: &Relay, call: &Call) {
        if let Self::Engine(_) = self {
            relay.record_answered(call);
        }
    }
}

/// The part of a stream that comes from one engine or peer.
pub(super) struct StreamSource {
    pub(super) framing: Framing,
    pub(super) body: Incoming,
    pub(super) connection: PooledConnection,
    pub(super) origin: StreamOrigin,
}

impl StreamSource {
    /// Version of the engine that serves the stream, if it is known for sure.
    pub(super) fn sure_version(&self, relay: &Rc<Relay>) -> Option<VersionKey> {
        let is_sure = self.origin.engine().is_none_or(|engine| {
            is_from_listed(relay, &engine, self.connection.process_since_ms())
        });
        self.origin.version().filter(|_| is_sure)
    }

    /// The rest of a stream, from the answer with which it is resumed.
    pub(super) fn resumed((response, connection): Exchanged, origin: StreamOrigin) -> Self {
        Self {
            framing: Framing::of(response.headers()),
            body: response.into_body(),
            connection,
            origin,
        }
    }
}

/// Logs and counts a stream that its caller takes up.
pub(super) fn note_taken_up(relay: &Relay, call: &Call, origin: &StreamOrigin) {
    let version = origin.engine().map(|engine| engine.version.clone());
    if relay.success_log_limit.take(relay.now_ms()) {
        let resumes = call.head.resumes.as_ref().and_then(|id| id.to_str().ok());
        log::info!(
            request = call.id(), resumes = resumes.unwrap_or("-"), last_event = call.head.last_event.unwrap_or(0),
            upstream = origin.name(), version = version.as_deref().unwrap_or("-");
            "stream taken up by its caller"
        );
    }
    let began_version = call.began_version.get();
    let is_same = began_version.map(|it| Some(it) == origin.version());
    count_continued(relay, &call.service, "caller", is_same);
}

/// Counts a stream that went on, and whether it did so at the version that began it, if that is known.
pub(super) fn count_continued(relay: &Relay, service: &str, by: &str, is_same: Option<bool>) {
    let version = match is_same {
        Some(true) => "same",
        Some(false) => "other",
        None => "unknown",
    };
    let streams = &relay.metrics.streams.continued;
    streams.with_label_values(&[service, by, version]).inc();
}
