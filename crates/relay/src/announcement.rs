//! What an upstream announces about itself in the heads of its answers.
//!
//! The list of upstreams may be out of reach when an upstream begins to leave; its answers still tell. See
//! docs/design/announcements.md.

use http::StatusCode;

use crate::call::Call;
use crate::dialect::ResponseHead;
use crate::relay::Relay;
use crate::send::is_no_capacity;
use crate::upstream::Upstream;

/// The call whose answer carries an announcement, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerTo {
    /// A caller's request, or the decode of a generation.
    Request,
    /// A separate prefill.
    Prefill,
    /// The call that frees an unused KV cache.
    FreeKv,
    /// The query for an engine's report.
    Report,
    /// A role order.
    Order,
    /// A request that a peer served for this instance.
    HandedOver,
}

/// An answer as far as its announcements are concerned.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncingAnswer<'a> {
    /// The call that was answered.
    pub to: AnswerTo,
    /// Id of the caller's attempt for logs; `-` if there is none.
    pub request: &'a str,
    /// Status of the answer.
    pub status: StatusCode,
    /// Its parsed head.
    pub head: &'a ResponseHead,
    /// Whether it answers the call that was just sent, and not an earlier one on the same connection.
    pub is_expected: bool,
}

impl<'a> AnnouncingAnswer<'a> {
    /// The answer to a caller's attempt.
    pub fn to_attempt(
        to: AnswerTo,
        call: &'a Call,
        status: StatusCode,
        head: &'a ResponseHead,
    ) -> Self {
        Self {
            to,
            request: call.id(),
            status,
            head,
            is_expected: head.attempt == call.head.attempt,
        }
    }

    /// The answer to a call of this instance's own, on a connection on which no other answer is due.
    pub fn to_own_call(to: AnswerTo, status: StatusCode, head: &'a ResponseHead) -> Self {
        Self {
            to,
            request: "-",
            status,
            head,
            is_expected: true,
        }
    }

    /// Whether the answer certainly comes from this incarnation.
    ///
    /// Another incarnation at the address rejects requests as misdirected, and a late answer may be such a
    /// rejection. Unless these name the incarnation, believing them would take a sound upstream out of use.
    fn is_from(&self, upstream: &Upstream) -> bool {
        match &self.head.instance {
            Some(id) => *id == upstream.id,
            None => self.is_expected && self.status != StatusCode::MISDIRECTED_REQUEST,
        }
    }
}

/// Records what an answer announces about the incarnation that it comes from.
pub fn note_announcements(relay: &Relay, upstream: &Upstream, answer: &AnnouncingAnswer) {
    if !answer.is_from(upstream) {
        return;
    }
    if answer.head.is_leaving {
        note_leaving(relay, upstream, answer);
    }
    if let Some(rest_ms) = answer.head.rest_ms
        && is_no_capacity(answer.status)
    {
        note_rest(relay, upstream, answer, rest_ms);
    }
}

/// Takes an upstream out of use that announced in an answer that it is leaving.
pub fn note_leaving(relay: &Relay, upstream: &Upstream, answer: &AnnouncingAnswer) {
    if relay.upstreams.borrow_mut().announce_leaving(upstream) {
        relay.metrics.announced_leaving.inc();
        log::info!(
            upstream = upstream.id, service = upstream.service, answer_to:? = answer.to, answered = answer.request,
            status = answer.status.as_u16(), is_expected = answer.is_expected,
            list_age_ms = relay.list_age_ms().unwrap_or(u64::MAX);
            "upstream announces that it is leaving"
        );
    }
}

fn note_rest(relay: &Relay, upstream: &Upstream, answer: &AnnouncingAnswer, rest_ms: u64) {
    relay.metrics.rests.inc();
    let now_ms = relay.now_ms();
    let is_longer = relay
        .upstreams
        .borrow_mut()
        .ask_for_rest(now_ms, upstream, rest_ms);
    if is_longer && relay.failure_log_limit.take(now_ms) {
        log::info!(
            upstream = upstream.id, service = upstream.service, answer_to:? = answer.to, answered = answer.request,
            status = answer.status.as_u16(), rest_ms, rest_left_ms = upstream.rest_left_ms(now_ms);
            "upstream asks for rest"
        );
    }
}
