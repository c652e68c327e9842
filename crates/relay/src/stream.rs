//! Forwards streams event by event, and resumes them at another engine when an engine fails.

mod long_answer;
mod resume;
mod source;

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http::{Response, header};
use http_body::Frame;
use http_body_util::BodyExt;

pub use self::long_answer::stream_answer;
pub use self::source::StreamOrigin;
use self::source::{StreamSource, note_taken_up};
use crate::answer::{AnswerBody, TruncatedAnswer};
use crate::call::{Call, strip_hop_by_hop};
use crate::engine_process::log_doubt;
use crate::forward::count_answer;
use crate::framing::{Framing, StreamEnd};
use crate::handover::ServedBy;
use crate::metrics::PastBound;
use crate::part_evidence::note_events;
use crate::pool::Exchanged;
use crate::reachability::cut_off_from;
use crate::relay::Relay;
use crate::sse::EventSplitter;
use crate::stream_origins::RunningStream;

/// Silence of an engine after which its stream is resumed elsewhere, in multiples of the objective
/// for the gap between events. Callers give up after eight, which leaves time for the other engine.
const MAX_SILENT_GAPS: u64 = 3;

/// Shortest silence after which a stream is resumed elsewhere, in ms: a sound engine may be silent for a second.
const MIN_SILENCE_MS: u64 = 1_300;

/// Longest event of a stream, with the comments before it, in bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Events of a stream beyond the tokens that were asked for, of which each event has one at least: its end, and events
/// without a token.
const MAX_EXTRA_EVENTS: u32 = 16;

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
    /// Told to other instances should a second version come while the stream runs.
    running: Option<RunningStream>,
    /// Before this time no other source is looked for in the place of a silent one, since none was found just now.
    look_again_ms: u64,
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
        let mut running = None;
        if call.head.last_event.is_some() {
            note_taken_up(relay, call, &origin);
            let began_version = call.began_version.get();
            running = began_version.map(|version| relay.stream_runs(call, version));
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
            running,
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
                    if let Some(bound) = self.bound_passed()
                        && let Err(truncated) = self.give_up_endless(bound).await
                    {
                        return Some(Err(truncated));
                    }
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

    /// The bound that the stream has passed, so that it is no answer.
    fn bound_passed(&self) -> Option<PastBound> {
        let prompt = self.call.head.prompt.as_ref();
        let max_events = prompt.map(|it| it.output_tokens.saturating_add(MAX_EXTRA_EVENTS));
        if self.splitter.unfinished_bytes() > MAX_EVENT_BYTES {
            Some(PastBound::Event)
        } else if max_events.is_some_and(|most| self.splitter.event_count() > most) {
            Some(PastBound::Events)
        } else {
            None
        }
    }

    /// Goes on elsewhere after an event that does not end, or ends the answer if there are too many events: the caller has
    /// some that belong to no answer.
    async fn give_up_endless(&mut self, bound: PastBound) -> Result<(), TruncatedAnswer> {
        let metrics = &self.relay.metrics;
        metrics.past_bound.count(&self.call.service, bound);
        self.note_lost_answer();
        if bound == PastBound::Events {
            return Err(self.fail("more events than tokens were asked for"));
        }
        let why = format!("no event within {MAX_EVENT_BYTES} bytes");
        self.resume_elsewhere(&why).await
    }

    /// Queues what may be passed on: all bytes, or the complete events if the stream can be resumed, without those that
    /// the caller already has.
    fn queue_received(&mut self) {
        self.queue_events();
        note_events(&self.relay, &self.call, self.splitter.event_count());
        if !self.ready.is_empty() {
            self.settle_began_version();
        }
    }

    /// Notes and tells which version began the stream, once that is known for sure.
    fn settle_began_version(&mut self) {
        let Some(source) = &self.source else {
            return;
        };
        if self.call.began_version.get().is_some() {
            return;
        }
        if let Some(version) = source.sure_version(&self.relay) {
            self.call.began_version.set(Some(version));
            self.running = Some(self.relay.stream_runs(&self.call, version));
            return self.relay.tell_stream_began(&self.call, version);
        }
        // A peer tells of its own.
        let Some(engine) = source.origin.engine() else {
            return;
        };
        if !self.call.is_origin_told.get() {
            let since_ms = source.connection.process_since_ms();
            log_doubt(&self.relay, self.call.id(), &engine, since_ms);
        }
        self.relay.tell_origin_unknown(&self.call);
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
        // A timeout does not end what is always ready.
        if self.call.is_overdue(now_ms) {
            return Received::OutOfTime;
        }
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
            if !pause.is_zero() {
                actix_rt::time::sleep(pause).await;
            }
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
        end.break_cause(source.framing, self.last_event.is_some())
    }

    /// Reports the lost connection to the failure attribution.
    fn note_lost_answer(&self) {
        if let Some(source) = &self.source {
            source.origin.note_lost_answer(&self.relay, &self.call);
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
