//! Forwards streams event by event, and resumes them at another engine when an engine fails.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::{AnswerBody, TruncatedAnswer};
use crate::attribution::{ensure_not_poison, note_lost_answer};
use crate::call::{Call, strip_hop_by_hop};
use crate::dialect::{Prompt, SendOptions};
use crate::forward::{count_answer, may_retry};
use crate::framing::{Framing, StreamEnd};
use crate::handover::{AtPeer, ServedBy, hand_over_from, is_handed_over, send_unless_cut_off};
use crate::part_evidence::note_events;
use crate::placement::{self, DecodePlacement};
use crate::pool::{Exchanged, PooledConnection};
use crate::reachability::cut_off_from;
use crate::relay::Relay;
use crate::retry::MAX_UNREACHABLE;
use crate::send::SendResult;
use crate::sse::EventSplitter;
use crate::upstream::{InFlight, Upstream, Work};
use crate::urgency::Urgency;
use view::VersionKey;

/// Silence of an engine after which its stream is resumed elsewhere, in multiples of the objective
/// for the gap between events. Callers give up after eight, which leaves time for the other engine.
const MAX_SILENT_GAPS: u64 = 3;

/// Shortest silence after which a stream is resumed elsewhere, in ms: a sound engine may be silent for a second.
const MIN_SILENCE_MS: u64 = 1_300;

/// State of a stream that is forwarded from an engine to a caller.
pub struct StreamForwarder {
    relay: Rc<Relay>,
    call: Rc<Call>,
    source: Option<StreamSource>,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    last_event: Option<u64>,
    tried: Vec<String>,
    first_ms: u64,
    last_ms: u64,
    longest_gap_ms: u64,
    /// Before this time no other source is looked for in the place of a silent one, since none was found just now.
    look_again_ms: u64,
}

/// Where a stream comes from.
pub enum StreamOrigin {
    /// An engine.
    Engine(InFlight),
    /// A peer that serves the request for this instance.
    Peer(AtPeer),
}

impl StreamOrigin {
    /// Name of the engine or the peer.
    fn name(&self) -> &str {
        match self {
            Self::Engine(guard) => &guard.upstream().id,
            Self::Peer(at_peer) => &at_peer.name,
        }
    }

    /// Version of the engine that serves the stream, if it is known.
    fn version(&self) -> Option<VersionKey> {
        match self {
            Self::Engine(guard) => Some(guard.upstream().version_key),
            Self::Peer(at_peer) => at_peer.version,
        }
    }

    fn engine(&self) -> Option<Rc<Upstream>> {
        match self {
            Self::Engine(guard) => Some(Rc::clone(guard.upstream())),
            Self::Peer(_) => None,
        }
    }

    fn note_activity(&self, now_ms: u64) {
        if let Self::Engine(guard) = self {
            guard.upstream().note_activity(now_ms);
        }
    }

    fn note_failure(&self, now_ms: u64) {
        if let Self::Engine(guard) = self {
            guard.upstream().note_failure(now_ms);
        }
    }

    /// Reports a lost connection to the failure attribution; the peer does so for its own.
    fn note_lost_answer(&self, relay: &Rc<Relay>, call: &Call) {
        if let Self::Engine(guard) = self {
            note_lost_answer(relay, call, guard.upstream());
        }
    }

    fn record_answered(&self, relay: &Relay, call: &Call) {
        if let Self::Engine(_) = self {
            relay.record_answered(call);
        }
    }
}

/// The part of a stream that comes from one engine or peer.
struct StreamSource {
    framing: Framing,
    body: Incoming,
    connection: PooledConnection,
    origin: StreamOrigin,
}

impl StreamSource {
    /// The rest of a stream, from the answer with which it is resumed.
    fn resumed((response, connection): Exchanged, origin: StreamOrigin) -> Self {
        Self {
            framing: Framing::of(response.headers()),
            body: response.into_body(),
            connection,
            origin,
        }
    }
}

/// Nobody else can go on with a stream.
struct NoOther;

/// Result of resuming a stream at another engine.
enum Resumed {
    Streaming(StreamSource),
    /// Nothing reached the engine.
    Unsent,
    Failed,
}

/// Result of waiting for the source.
enum Received {
    Data(Bytes),
    End,
    Broken(String),
    Silent(String),
    /// Another source took its place.
    Replaced,
    OutOfTime,
}

impl StreamForwarder {
    /// Returns the head of a stream, with a body that forwards its events as they arrive.
    pub fn start(
        relay: &Rc<Relay>,
        call: &Rc<Call>,
        (response, connection): Exchanged,
        origin: StreamOrigin,
        tried: Vec<String>,
    ) -> Response<AnswerBody> {
        let framing = Framing::of(response.headers());
        if call.head.last_event.is_some() {
            note_taken_up(relay, call, &origin);
        }
        let (mut head, body) = response.into_parts();
        strip_hop_by_hop(&mut head.headers, |_| false);
        head.extensions.insert(ServedBy {
            id: origin.name().to_owned(),
            version: origin.version(),
        });
        // The rest may come from another engine and differ in length, and a stream that turns out to be broken off at
        // its end would look complete under its length.
        head.headers.remove(header::CONTENT_LENGTH);
        let took_s = (relay.now_ms() - call.arrived_ms) as f64 / 1_000.0;
        let labels = [call.route.name.as_str()];
        relay
            .metrics
            .head_s
            .with_label_values(&labels)
            .observe(took_s);
        let forwarder = Self {
            relay: Rc::clone(relay),
            call: Rc::clone(call),
            source: Some(StreamSource {
                framing,
                body,
                connection,
                origin,
            }),
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            last_event: call.head.last_event,
            tried,
            first_ms: relay.now_ms() - call.arrived_ms,
            last_ms: relay.now_ms(),
            longest_gap_ms: 0,
            look_again_ms: 0,
        };
        let frames = unfold(Some(forwarder), |forwarder| async move {
            let mut forwarder = forwarder?;
            match forwarder.next().await {
                Some(Ok(bytes)) => Some((Ok(bytes), Some(forwarder))),
                Some(Err(truncated)) => {
                    // An error drops what is not written yet; a pending body has it written first.
                    actix_rt::task::yield_now().await;
                    Some((Err(truncated), None))
                }
                None => None,
            }
        });
        Response::from_parts(head, AnswerBody::stream(frames))
    }

    /// The next complete event, or the next chunk of a stream that cannot be resumed.
    async fn next(&mut self) -> Option<Result<Bytes, TruncatedAnswer>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Some(Ok(bytes));
            }
            if self.call.is_finished.get() {
                return None;
            }
            let received = match self.receive().await {
                Received::Silent(why) => self.replace_silent(&why).await,
                received => received,
            };
            match received {
                Received::Data(bytes) => {
                    self.splitter.push(&bytes);
                    self.queue_received();
                }
                Received::End => {
                    let Some(why) = self.note_end() else {
                        // Comments and the second half of a CRLF may follow the last event.
                        let rest = self.splitter.take_all();
                        self.queue(rest);
                        self.finish("200");
                        return self.ready.pop_front().map(Ok);
                    };
                    self.note_lost_answer();
                    if let Err(truncated) = self.resume_elsewhere(why).await {
                        return Some(Err(truncated));
                    }
                }
                Received::Broken(why) => {
                    self.note_lost_answer();
                    if let Err(truncated) = self.resume_elsewhere(&why).await {
                        return Some(Err(truncated));
                    }
                }
                Received::Silent(_) | Received::Replaced => {}
                Received::OutOfTime => return Some(Err(self.fail("out of time"))),
            }
        }
    }

    /// Queues what may be passed on: all bytes, or the complete events if the stream can be resumed, without those that
    /// the caller already has.
    fn queue_received(&mut self) {
        self.queue_events();
        note_events(&self.relay, &self.call, self.splitter.event_count());
        if !self.ready.is_empty() && self.call.began_version.get().is_none() {
            let version = self.source.as_ref().and_then(|it| it.origin.version());
            self.call.began_version.set(version);
            if let Some(version) = version {
                self.relay.tell_stream_began(&self.call, version);
            }
        }
    }

    fn queue_events(&mut self) {
        if !self.call.route.is_retryable() {
            let bytes = self.splitter.take_all();
            return self.queue(bytes);
        }
        while let Some(event) = self.splitter.next_event() {
            let is_duplicate = match (event.id, self.last_event) {
                (Some(id), Some(last)) => id <= last,
                _ => false,
            };
            if is_duplicate {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            self.queue(event.bytes);
        }
    }

    fn queue(&mut self, bytes: Bytes) {
        if !bytes.is_empty() {
            self.ready.push_back(bytes);
        }
    }

    /// Waits for data, as long as the deadline and the allowed silence permit.
    async fn receive(&mut self) -> Received {
        let now_ms = self.relay.now_ms();
        let left_ms = self.call.left_ms(now_ms);
        let Some(source) = self.source.as_mut() else {
            return Received::End;
        };
        let may_resume = self.call.route.is_retryable()
            && self.call.attempts.get() < self.call.route.max_attempts;
        // A peer looks for another engine itself.
        let engine = source.origin.engine().filter(|_| may_resume);
        let silent_ms = (self.call.route.gap_goal_ms * MAX_SILENT_GAPS).max(MIN_SILENCE_MS);
        let wait_ms = match &engine {
            Some(_) => left_ms.min(silent_ms),
            None => left_ms,
        };
        let pause = Duration::from_millis(self.look_again_ms.saturating_sub(now_ms));
        let path_cut = async {
            actix_rt::time::sleep(pause).await;
            match &engine {
                Some(engine) => cut_off_from(&self.relay, engine).await,
                None => std::future::pending().await,
            }
        };
        let frame = source.body.frame();
        let waited = tokio::select! {
            waited = actix_rt::time::timeout(Duration::from_millis(wait_ms), frame) => waited,
            () = path_cut => return Received::Silent("the path to the engine was cut".to_owned()),
        };
        match waited {
            Err(_) if wait_ms == left_ms => Received::OutOfTime,
            Err(_) => Received::Silent(format!("silent for {wait_ms} ms")),
            Ok(frame) => self.note_frame(frame),
        }
    }

    /// What the source brought.
    fn note_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> Received {
        match frame {
            None => Received::End,
            Some(Err(error)) => Received::Broken(error.to_string()),
            Some(Ok(frame)) => {
                self.note_progress();
                Received::Data(frame.into_data().unwrap_or_default())
            }
        }
    }

    /// Looks for another source in the place of a silent one.
    ///
    /// A sound engine may be silent and go on, and the other one may reject the request, be dead or silent itself. So the
    /// silent one is kept until the other one has begun to answer, and goes on if it is the first to do so.
    async fn replace_silent(&mut self, why: &str) -> Received {
        let Some(mut silent) = self.source.take() else {
            return Received::End;
        };
        let kept = silent.origin.engine();
        // Nothing arrives meanwhile, so an end of the source now is either the stream's end or a break.
        let is_end = StreamEnd::of(&self.splitter)
            .break_cause(silent.framing)
            .is_none();
        let mut broken = None;
        let found = {
            let other = self.find_other(kept.as_deref());
            tokio::pin!(other);
            loop {
                tokio::select! {
                    biased;
                    frame = silent.body.frame(), if broken.is_none() => match frame {
                        Some(Ok(_)) => break Err(frame),
                        None if is_end => break Err(frame),
                        // The other source is needed all the more.
                        None | Some(Err(_)) => broken = Some(frame),
                    },
                    other = &mut other => break Ok(other),
                }
            }
        };
        match found {
            Ok(Ok(other)) => {
                if broken.is_some() {
                    silent.origin.note_lost_answer(&self.relay, &self.call);
                }
                self.note_interrupted(&silent.origin, why);
                self.splitter.clear();
                self.source = Some(other);
                Received::Replaced
            }
            Ok(Err(NoOther)) => {
                self.source = Some(silent);
                if let Some(frame) = broken {
                    return self.note_frame(frame);
                }
                self.look_again_ms = self.relay.now_ms() + MIN_SILENCE_MS;
                Received::Silent(why.to_owned())
            }
            Err(frame) => {
                self.source = Some(silent);
                self.note_frame(frame)
            }
        }
    }

    /// Updates the longest gap and the engine's last activity.
    fn note_progress(&mut self) {
        let now_ms = self.relay.now_ms();
        self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_ms);
        self.last_ms = now_ms;
        if let Some(source) = &self.source {
            source.origin.note_activity(now_ms);
        }
    }

    /// Counts an end that looked orderly on the connection, and tells why it is a break; none if it is the stream's end.
    fn note_end(&self) -> Option<&'static str> {
        let source = self.source.as_ref()?;
        let end = StreamEnd::of(&self.splitter);
        let labels = [
            self.call.service.as_str(),
            source.framing.label(),
            end.label(),
        ];
        let ends = &self.relay.metrics.streams.ends;
        ends.with_label_values(&labels).inc();
        end.break_cause(source.framing)
    }

    /// Reports the lost connection to the failure attribution.
    fn note_lost_answer(&self) {
        if let Some(source) = &self.source {
            source.origin.note_lost_answer(&self.relay, &self.call);
        }
    }

    /// Resumes the stream at another engine, after the last complete event.
    async fn resume_elsewhere(&mut self, why: &str) -> Result<(), TruncatedAnswer> {
        if let Some(source) = self.source.take() {
            self.note_interrupted(&source.origin, why);
        }
        self.splitter.clear();
        if self.last_event.is_some() && self.call.began_version.get().is_none() {
            return Err(self.fail("the version that began it is not known"));
        }
        let Ok(other) = self.find_other(None).await else {
            return Err(self.fail(why));
        };
        self.source = Some(other);
        Ok(())
    }

    /// Records that a source was given up.
    fn note_interrupted(&self, origin: &StreamOrigin, why: &str) {
        let now_ms = self.relay.now_ms();
        origin.note_failure(now_ms);
        if self.relay.failure_log_limit.take(now_ms) {
            log::info!(
                request = self.call.id(), key:% = self.call.key,
                upstream = origin.name(), why, last_event = self.last_event.unwrap_or(0);
                "stream interrupted"
            );
        }
    }

    /// Finds another source for the rest of the stream, after the last complete event; not `kept`, which is waited for.
    async fn find_other(&mut self, kept: Option<&Upstream>) -> Result<StreamSource, NoOther> {
        let call = Rc::clone(&self.call);
        let prompt = call.head.prompt.as_ref().ok_or(NoOther)?;
        let has_version = call.began_version.get().is_some();
        if !call.route.is_retryable() || (self.last_event.is_some() && !has_version) {
            return Err(NoOther);
        }
        ensure_not_poison(&self.relay, &call)
            .await
            .map_err(|_| NoOther)?;
        if kept.is_some() && !self.has_other(&call, prompt, kept) || !may_retry(&self.relay, &call)
        {
            return Err(NoOther);
        }
        // An engine that was not reached, or began to leave before the request was sent, costs no attempt.
        for _ in 0..MAX_UNREACHABLE {
            let resumed = if is_handed_over(&self.relay, &call).await {
                self.resume_at_peer(&call).await
            } else {
                self.resume_at_best(&call, prompt, kept).await
            };
            match resumed {
                Resumed::Streaming(source) => return Ok(source),
                Resumed::Unsent => {}
                Resumed::Failed => break,
            }
        }
        Err(NoOther)
    }

    /// Whether anyone else could go on with the stream, so that no retry is taken in vain.
    fn has_other(&self, call: &Call, prompt: &Prompt, kept: Option<&Upstream>) -> bool {
        self.relay.is_cut_off(&call.service) || self.choose_other(call, prompt, kept).is_some()
    }

    /// The best engine that was not tried yet, other than `kept`.
    fn choose_other(
        &self,
        call: &Call,
        prompt: &Prompt,
        kept: Option<&Upstream>,
    ) -> Option<DecodePlacement> {
        let urgency = Urgency::OnTime;
        let chosen =
            placement::choose_decode_engine(&self.relay, call, prompt, &self.tried, false, urgency);
        let is_kept = |engine: &Upstream| kept.is_some_and(|kept| kept.id == engine.id);
        chosen.ok().filter(|chosen| !is_kept(&chosen.engine))
    }

    /// Has a peer serve the rest of the stream, since this instance is cut off from the engines.
    async fn resume_at_peer(&mut self, call: &Rc<Call>) -> Resumed {
        if call.is_taken_over.get() {
            return Resumed::Failed;
        }
        let left = Duration::from_millis(call.left_ms(self.relay.now_ms()));
        let resumed = hand_over_from(&self.relay, call, self.last_event);
        let Ok(Ok(((response, connection), at_peer))) =
            actix_rt::time::timeout(left, resumed).await
        else {
            return Resumed::Failed;
        };
        // An instance of an older build does not ask for the version. Before the first event any will do.
        let began_version = call.began_version.get();
        let is_other = began_version.is_some() && at_peer.version != began_version;
        if response.status() != StatusCode::OK || is_other {
            call.is_handed_over.set(false);
            return Resumed::Failed;
        }
        if self.relay.failure_log_limit.take(self.relay.now_ms()) {
            log::info!(request = call.id(), to = at_peer.name; "stream resumed by another instance");
        }
        let exchanged = (response, connection);
        Resumed::Streaming(StreamSource::resumed(
            exchanged,
            StreamOrigin::Peer(at_peer),
        ))
    }

    /// Sends the request for the rest of the stream to the best engine that was not tried yet.
    async fn resume_at_best(
        &mut self,
        call: &Rc<Call>,
        prompt: &Prompt,
        kept: Option<&Upstream>,
    ) -> Resumed {
        let Some(placement) = self.choose_other(call, prompt, kept) else {
            return Resumed::Failed;
        };
        let copy_from = placement.copy_from.map(|holder| holder.address);
        let engine = placement.engine;
        self.tried.push(engine.id.clone());
        let guard = InFlight::begin(
            &engine,
            self.relay.now_ms(),
            Work {
                prefill_tokens: placement.prefill_tokens,
                context_tokens: f64::from(prompt.input_tokens),
                rank: call.rank(Urgency::OnTime),
            },
        );
        let options = SendOptions {
            instance: &engine.id,
            deadline_ms: call.left_ms(self.relay.now_ms()),
            priority: Some(call.rank(Urgency::OnTime)),
            copy_from,
            last_event: self.last_event,
            ..SendOptions::default()
        };
        let left = Duration::from_millis(call.left_ms(self.relay.now_ms()));
        let sending = send_unless_cut_off(&self.relay, call, &engine, &options);
        let sent = actix_rt::time::timeout(left, sending).await;
        match sent {
            Ok(SendResult::Answer(checked)) if checked.response.status() == StatusCode::OK => {
                guard.note_prefilled();
                guard.note_head(self.relay.now_ms());
                if self.relay.failure_log_limit.take(self.relay.now_ms()) {
                    log::info!(
                        request = call.id(), upstream = engine.id, version = engine.version;
                        "stream resumed at another engine"
                    );
                }
                let began_version = call.began_version.get();
                let is_same = began_version.map(|it| it == engine.version_key);
                count_continued(&self.relay, &call.service, "relay", is_same);
                let exchanged = (checked.response, checked.connection);
                Resumed::Streaming(StreamSource::resumed(
                    exchanged,
                    StreamOrigin::Engine(guard),
                ))
            }
            Ok(SendResult::Unsent(_)) => Resumed::Unsent,
            _ => Resumed::Failed,
        }
    }

    /// Counts and logs a complete stream, and releases its connection.
    fn finish(&mut self, status: &str) {
        self.call.is_finished.set(true);
        let route = &self.call.route;
        let first_ms = self.call.prior_wait_ms + self.first_ms;
        let in_time = first_ms <= route.goal_ms && self.longest_gap_ms <= route.gap_goal_ms;
        let is_from_peer = matches!(
            &self.source,
            Some(source) if matches!(source.origin, StreamOrigin::Peer(_))
        );
        if is_from_peer {
            // The peer counts the answer.
            self.call.count_end("handed_over");
        } else {
            self.call.count_end(status);
            count_answer(&self.relay, &self.call, in_time);
        }
        if let Some(source) = self.source.take() {
            source.origin.record_answered(&self.relay, &self.call);
            if self.relay.success_log_limit.take(self.relay.now_ms()) {
                log::info!(
                    request = self.call.id(), route = route.name, workspace = self.call.workspace_name(),
                    service = self.call.service, upstream = source.origin.name(), is_from_peer,
                    first_ms = self.first_ms, longest_gap_ms = self.longest_gap_ms, in_time,
                    framing = source.framing.label(), ended = StreamEnd::of(&self.splitter).label();
                    "stream finished"
                );
            }
            source.connection.release();
        }
    }

    /// Counts and logs a stream that ends incomplete.
    fn fail(&self, why: &str) -> TruncatedAnswer {
        self.call.is_finished.set(true);
        if self.relay.failure_log_limit.take(self.relay.now_ms()) {
            log::info!(
                request = self.call.id(), key:% = self.call.key, route = self.call.route.name,
                workspace = self.call.workspace_name(), why, took_ms = self.relay.now_ms() - self.call.arrived_ms;
                "stream ended incomplete"
            );
        }
        self.call.count_end("broken");
        TruncatedAnswer {
            why: why.to_owned(),
        }
    }
}

/// Logs and counts a stream that its caller takes up.
fn note_taken_up(relay: &Relay, call: &Call, origin: &StreamOrigin) {
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
fn count_continued(relay: &Relay, service: &str, by: &str, is_same: Option<bool>) {
    let version = match is_same {
        Some(true) => "same",
        Some(false) => "other",
        None => "unknown",
    };
    let streams = &relay.metrics.streams.continued;
    streams.with_label_values(&[service, by, version]).inc();
}

/// Streams a long answer to the caller as it arrives, until the request's deadline.
pub fn stream_answer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    body: Incoming,
    connection: PooledConnection,
    origin: StreamOrigin,
) -> AnswerBody {
    struct State {
        relay: Rc<Relay>,
        call: Rc<Call>,
        body: Incoming,
        connection: PooledConnection,
        origin: StreamOrigin,
    }
    let state = State {
        relay: Rc::clone(relay),
        call: Rc::clone(call),
        body,
        connection,
        origin,
    };
    let frames = unfold(Some(state), |state| async move {
        let mut state = state?;
        let left = Duration::from_millis(state.call.left_ms(state.relay.now_ms()));
        let why = match actix_rt::time::timeout(left, state.body.frame()).await {
            Ok(Some(Ok(frame))) => {
                return Some((Ok(frame.into_data().unwrap_or_default()), Some(state)));
            }
            Ok(None) => {
                state.connection.release();
                state.origin.record_answered(&state.relay, &state.call);
                return None;
            }
            Ok(Some(Err(error))) => {
                state.origin.note_lost_answer(&state.relay, &state.call);
                error.to_string()
            }
            Err(_) => "out of time".to_owned(),
        };
        if state.relay.failure_log_limit.take(state.relay.now_ms()) {
            log::info!(
                request = state.call.id(), key:% = state.call.key, upstream = state.origin.name(), why;
                "answer ended early"
            );
        }
        Some((Err(TruncatedAnswer { why }), None))
    });
    AnswerBody::stream(frames)
}
