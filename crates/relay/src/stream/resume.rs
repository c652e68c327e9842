//! Finds another source for a stream whose own has ended, failed or fallen silent.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http_body_util::BodyExt;

use super::source::count_continued;
use super::{MIN_SILENCE_MS, Received, StreamForwarder, StreamOrigin, StreamSource};
use crate::answer::TruncatedAnswer;
use crate::attribution::ensure_not_poison;
use crate::call::Call;
use crate::dialect::{Prompt, SendOptions};
use crate::forward::may_retry;
use crate::framing::StreamEnd;
use crate::handover::{hand_over_from, is_handed_over, send_unless_cut_off};
use crate::placement::{self, DecodePlacement};
use crate::retry::MAX_UNREACHABLE;
use crate::send::SendResult;
use crate::upstream::{InFlight, Upstream, Work};
use crate::urgency::Urgency;

/// Nobody else can go on with a stream.
struct NoOther;

/// Result of resuming a stream at another engine.
enum Resumed {
    Streaming(StreamSource),
    /// Nothing reached the engine.
    Unsent,
    Failed,
}

impl StreamForwarder {
    /// Looks for another source in the place of a silent one.
    ///
    /// A sound engine may be silent and go on, and the other one may reject the request, be dead or silent itself. So the
    /// silent one is kept until the other one has begun to answer, and goes on if it is the first to do so.
    pub(super) async fn replace_silent(&mut self, why: &str) -> Received {
        if self.last_event.is_some() {
            self.settle_began_version();
        }
        let Some(mut silent) = self.source.take() else {
            return Received::End;
        };
        let kept = silent.origin.engine();
        // Nothing arrives meanwhile, so an end of the source now is either the stream's end or a break.
        let is_end = StreamEnd::of(&self.splitter)
            .break_cause(silent.framing, self.last_event.is_some())
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

    /// Resumes the stream at another engine, after the last complete event.
    pub(super) async fn resume_elsewhere(&mut self, why: &str) -> Result<(), TruncatedAnswer> {
        if self.last_event.is_some() {
            self.settle_began_version();
        }
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
}
