//! `GET /v1/streams/{token}`: resumes the stream of an answer after its instance has failed.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use bytes::Bytes;
use conf::hex_sha256;
use futures_util::StreamExt;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;
use web::Response;

use crate::app::App;
use crate::auth::number;
use crate::engine::{self, EngineEvent, EngineEvents};
use crate::openai::{CompletionMetadata, Endpoint};
use crate::refusal::{Code, Refusal};
use crate::request_context::request_context;

/// Separates the parts of a token.
const PART: char = '~';

/// Number of hexadecimal digits of the digest that binds a token to its workspace.
const TAG_DIGITS: usize = 16;

/// Number of buffered events per caller.
const EVENT_BUFFER: usize = 64;

/// Timeout of the request to the engine.
const OPEN_TIMEOUT_MS: u64 = 2_000;

/// Creates the token with which a stream can be resumed.
///
/// The token names the engine and its request id, so any instance can resume the stream without
/// further state. It includes a digest, so that only the same workspace can use it.
pub(crate) fn token(engine: &str, request_id: &str, workspace: &str) -> String {
    let tag = tag(request_id, workspace);
    format!("{engine}{PART}{request_id}{PART}{tag}")
}

fn tag(request_id: &str, workspace: &str) -> String {
    let digest = Sha256::digest(format!("{workspace} {request_id}"));
    let mut digits = hex_sha256(&digest);
    digits.truncate(TAG_DIGITS);
    digits
}

/// Streams the events after `Last-Event-ID`.
pub(crate) async fn resume(
    app: &Rc<App>,
    request: &Request,
    text: &str,
) -> Result<Response, Refusal> {
    let context = request_context(app, request)?;
    let after = number(request, "last-event-id")?.unwrap_or(0) as u32;
    let mut fields = text.split(PART);
    let (Some(engine), Some(request_id), Some(given), None) =
        (fields.next(), fields.next(), fields.next(), fields.next())
    else {
        return Err(Refusal::new(Code::BadRequest, "stream: malformed token"));
    };
    if given != tag(request_id, &context.tenant.workspace) {
        return Err(Refusal::new(
            Code::NotFound,
            "stream: not one of this workspace",
        ));
    }
    let address = {
        let upstreams = app.upstreams.borrow();
        upstreams
            .engines
            .get(engine)
            .map(|engine| engine.address.clone())
    };
    let stream_gone = || Refusal::unknown(Code::NotFound, "stream: no longer there");
    let address = address.ok_or_else(stream_gone)?;
    let limit = Duration::from_millis(OPEN_TIMEOUT_MS);
    let opened =
        actix_rt::time::timeout(limit, engine::resume(app, &address, request_id, after)).await;
    let events = opened
        .map_err(|_| stream_gone())?
        .map_err(|_| stream_gone())?;
    let metadata = CompletionMetadata {
        id: format!(
            "cmpl-{}",
            request_id.split('.').next().unwrap_or(request_id)
        ),
        model: String::new(),
        endpoint: Endpoint::Text,
        created: tick::wall_ms() / 1_000,
    };
    let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
    actix_rt::spawn(forward_events(
        metadata,
        text.to_owned(),
        after,
        events,
        sender,
    ));
    Ok(web::stream("text/event-stream", receiver))
}

async fn forward_events(
    metadata: CompletionMetadata,
    token: String,
    after: u32,
    mut events: EngineEvents,
    sender: mpsc::Sender<Bytes>,
) {
    let mut produced = after;
    while let Some(Ok(event)) = events.next().await {
        let event = match event {
            EngineEvent::Token(number, _) if number <= produced => continue,
            EngineEvent::Token(number, text) if number == produced + 1 => {
                produced = number;
                metadata.token(number, &text, &token)
            }
            EngineEvent::End(usage) if usage.completion_tokens == produced => metadata.end(usage),
            // A token is missing. Closing without a final event lets the caller resume again.
            EngineEvent::Token(..) | EngineEvent::End(_) => return,
        };
        if sender.send(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}
