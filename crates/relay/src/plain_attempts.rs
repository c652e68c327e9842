//! The sends of a request that generates no text, of which a silent one is kept while another upstream is asked.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Response;
use plan::AttemptTimeout;

use crate::answer::AnswerBody;
use crate::call::Call;
use crate::config::RouteKind;
use crate::dialect::SendOptions;
use crate::forward::{buffer_or_stream, may_retry};
use crate::handover::send_unless_cut_off;
use crate::placement;
use crate::relay::Relay;
use crate::retry::SendFailure;
use crate::send::{CheckedAnswer, SendResult, note_response};
use crate::upstream::{InFlight, Upstream, Work};

/// An answer of which only the head has been read, and the guard that counts the request at its upstream.
pub type BegunAnswer = (Box<CheckedAnswer>, InFlight);

/// What came of a send.
pub enum Outcome {
    /// The caller's answer.
    Answered(Response<AnswerBody>),
    /// A stream has begun.
    Stream(BegunAnswer),
    /// The upstream failed, and another one may do better.
    ServerError(BegunAnswer),
    /// There is no answer that can be used.
    Failed(SendFailure),
}

/// What to do next for a request whose sends are under way.
pub enum Next {
    /// A send has ended.
    Ended(Outcome),
    /// All are silent, and another upstream can be asked.
    AskAnother,
}

/// The sends of one request that are under way. Dropping them closes their connections.
pub struct Attempts<'a> {
    relay: &'a Rc<Relay>,
    call: &'a Rc<Call>,
    under_way: FuturesUnordered<Pin<Box<dyn Future<Output = Outcome> + 'a>>>,
    /// Upstream of the last send, and when it began.
    last: Option<(Rc<Upstream>, u64)>,
}

impl<'a> Attempts<'a> {
    /// No send is under way yet.
    pub fn new(relay: &'a Rc<Relay>, call: &'a Rc<Call>) -> Self {
        Self {
            relay,
            call,
            under_way: FuturesUnordered::new(),
            last: None,
        }
    }

    /// Whether a send is under way.
    pub fn is_under_way(&self) -> bool {
        !self.under_way.is_empty()
    }

    /// Sends the request to an upstream.
    pub fn begin(&mut self, upstream: Rc<Upstream>) {
        let (relay, call) = (self.relay, self.call);
        self.last = Some((Rc::clone(&upstream), relay.now_ms()));
        self.under_way
            .push(Box::pin(attempt(relay, call, upstream)));
    }

    /// Waits until a send has ended, or until the last one has used its part of the time and another upstream can be
    /// asked in addition. What nobody else can answer is waited for until the deadline.
    pub async fn next(&mut self, tried: &[String]) -> Next {
        let wait_ms = self.call.route.is_retryable().then(|| {
            let left_ms = self.call.left_ms(self.relay.now_ms());
            AttemptTimeout::next(left_ms, 1).map_or(left_ms, |it| it.timeout_ms)
        });
        let silence = async {
            match wait_ms {
                Some(wait_ms) => actix_rt::time::sleep(Duration::from_millis(wait_ms)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            Some(outcome) = self.under_way.next() => return Next::Ended(outcome),
            () = silence => {}
        }
        if self.may_ask_another(tried) {
            self.note_silence();
            return Next::AskAnother;
        }
        match self.under_way.next().await {
            Some(outcome) => Next::Ended(outcome),
            None => Next::AskAnother,
        }
    }

    /// Whether another upstream can be asked; takes a retry if it can.
    pub fn may_ask_another(&self, tried: &[String]) -> bool {
        placement::choose_upstream(self.relay, self.call, tried).is_ok()
            && may_retry(self.relay, self.call)
    }

    /// Holds the silence against the last upstream, unless it was that of this instance's own path.
    fn note_silence(&self) {
        let Some((upstream, began_ms)) = &self.last else {
            return;
        };
        let (relay, call) = (self.relay, self.call);
        if relay.was_cut_off_since(&call.service, *began_ms) {
            return;
        }
        upstream.note_failure(relay.now_ms());
        if relay.failure_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), key:% = call.key, upstream = upstream.id,
                silent_ms = relay.now_ms() - began_ms;
                "upstream is silent, another one is asked too"
            );
        }
    }
}

/// Sends a request to an upstream and reads a short answer whole, so that one whose body stops is no answer yet.
async fn attempt(relay: &Rc<Relay>, call: &Rc<Call>, upstream: Rc<Upstream>) -> Outcome {
    let guard = InFlight::begin(&upstream, relay.now_ms(), Work::default());
    let options = SendOptions {
        instance: &upstream.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        ..SendOptions::default()
    };
    let result = send_unless_cut_off(relay, call, &upstream, &options).await;
    note_response(relay, &guard, &result);
    let checked = match result {
        SendResult::Answer(checked) => checked,
        SendResult::HandedOver(response) => return Outcome::Answered(*response),
        failed => return Outcome::Failed(failed.failure()),
    };
    let status = checked.response.status();
    if call.route.kind == RouteKind::Stream && status.is_success() {
        return Outcome::Stream((checked, guard));
    }
    if call.route.kind == RouteKind::Safe && status.is_server_error() {
        return Outcome::ServerError((checked, guard));
    }
    match buffer_or_stream(relay, call, *checked, guard).await {
        Ok(response) => Outcome::Answered(response),
        // No part of the truncated answer was forwarded.
        Err(_) => Outcome::Failed(SendFailure::Lost),
    }
}
