//! Asks an upstream for a sign of life.
//!
//! Only an answer proves that a path works and that a process lives: a connection may be established by the kernel, a
//! supervisor or a proxy in the place of a process that has ended, or by a path that resets it later. All who have to
//! know ask here: the check of the own path ([`crate::path_check`]) and failure attribution
//! ([`crate::attribution`]). What a sign means is decided in [`plan::Inquiry`]. See docs/design/reachability.md.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use plan::Sign;

use crate::announcement::{AnnouncingAnswer, AnswerTo, note_announcements};
use crate::framing::has_unmarked_end;
use crate::own_request::report_request;
use crate::pool::ExchangeError;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Time in which a connection has to be established, in ms: dozens of round trips between availability zones.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Time in which the report has to arrive, with the connection, in ms.
pub const ANSWER_TIMEOUT_MS: u64 = 300;

/// Asks an upstream for its report on a new connection. No request of a caller is put at risk, and a report takes no
/// slot there.
///
/// An upstream that is leaving, rests or has no room within its rate limit is not asked; whether its address refuses
/// connections is all that can be found out.
pub async fn ask(relay: &Relay, upstream: &Upstream) -> Sign {
    let may_ask = upstream.accepts_requests(relay.now_ms()) && relay.take_rate_capacity(upstream);
    let request = match report_request(relay, upstream) {
        Ok(request) => request,
        Err(error) => {
            log::error!(upstream = upstream.id, error:%; "query for a report could not be built");
            return Sign::Unanswered;
        }
    };
    let asking = async {
        if may_ask {
            let response = upstream.pool.call(request, CONNECT_TIMEOUT_MS).await?;
            Ok(sign_of_answer(relay, upstream, &response))
        } else {
            upstream.pool.connect(CONNECT_TIMEOUT_MS).await?;
            Ok(Sign::NotAsked)
        }
    };
    let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
    let asked: Result<Result<Sign, ExchangeError>, _> =
        actix_rt::time::timeout(timeout, asking).await;
    let sign = match asked {
        Ok(Ok(sign)) => sign,
        Ok(Err(ExchangeError::Connect {
            is_refused: true, ..
        })) => Sign::Refused,
        Ok(Err(_)) => Sign::Unanswered,
        // A connection that is not established ends the attempt earlier.
        Err(_) => Sign::Silent,
    };
    if sign == Sign::Answered {
        upstream.note_proven();
    }
    sign
}

fn sign_of_answer(relay: &Relay, upstream: &Upstream, response: &Response<Bytes>) -> Sign {
    let status = response.status();
    // The answer of a gateway that does not reach the upstream.
    if status == StatusCode::BAD_GATEWAY || status == StatusCode::GATEWAY_TIMEOUT {
        return Sign::Unanswered;
    }
    // An upstream that stopped right after its head looks the same.
    if response.body().is_empty() && has_unmarked_end(status, response.headers()) {
        return Sign::Unanswered;
    }
    let head = relay.dialect.parse_response_head(response.headers());
    let answer = AnnouncingAnswer::to_own_call(AnswerTo::Report, status, &head);
    note_announcements(relay, upstream, &answer);
    let names_another = head.instance.as_ref().is_some_and(|id| *id != upstream.id);
    let is_misdirected = status == StatusCode::MISDIRECTED_REQUEST && head.instance.is_none();
    let started_ms = relay.dialect.parse_reported_start(response.body());
    let is_restarted =
        upstream.started_ms > 0 && started_ms.is_some_and(|it| it != upstream.started_ms);
    if names_another || is_misdirected || is_restarted {
        Sign::Replaced
    } else {
        // An upstream that names no start gets a new id at each, so its id alone tells.
        if status.is_success() && started_ms.unwrap_or_default() == upstream.started_ms {
            upstream.note_confirmed();
        }
        Sign::Answered
    }
}
