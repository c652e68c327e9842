//! Streams long answers that are no events.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::StreamOrigin;
use crate::answer::{AnswerBody, TruncatedAnswer};
use crate::call::Call;
use crate::pool::PooledConnection;
use crate::relay::Relay;

/// Streams a long answer to the caller as it arrives after its beginning, until the request's deadline.
pub fn stream_answer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    (begun, body): (Bytes, Incoming),
    connection: PooledConnection,
    origin: StreamOrigin,
) -> AnswerBody {
    struct State {
        relay: Rc<Relay>,
        call: Rc<Call>,
        begun: Bytes,
        body: Incoming,
        connection: PooledConnection,
        origin: StreamOrigin,
    }
    let state = State {
        relay: Rc::clone(relay),
        call: Rc::clone(call),
        begun,
        body,
        connection,
        origin,
    };
    let frames = unfold(Some(state), |state| async move {
        let mut state = state?;
        if !state.begun.is_empty() {
            let begun = std::mem::take(&mut state.begun);
            return Some((Ok(begun), Some(state)));
        }
        let left = Duration::from_millis(state.call.left_ms(state.relay.now_ms()));
        let why = match actix_rt::time::timeout(left, state.body.frame()).await {
            // A timeout does not end what is always ready.
            Ok(Some(Ok(_))) if state.call.is_overdue(state.relay.now_ms()) => {
                "out of time".to_owned()
            }
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
