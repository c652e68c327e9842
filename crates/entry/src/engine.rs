//! HTTP client for model engines: opens, resumes and cancels streams.

use std::io::ErrorKind;
use std::pin::Pin;
use std::time::Duration;

use actix_http::StatusCode;
use derive_more::{Display, Error};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use plan::Sign;
use serde::{Deserialize, Serialize};

use crate::app::App;

/// Timeout of a cancel. It is sent only once: if it is lost, only engine time is wasted.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Response header with the id of the request that is answered.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Request body for an engine.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct EngineRequest<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) generated: &'a str,
    pub(crate) max_tokens: u32,
    pub(crate) priority: usize,
}

/// Number of tokens of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    #[serde(default)]
    pub(crate) cached_tokens: u32,
}

/// Event of an answer stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// A token with its number, from 1.
    Token(u32, String),
    /// The end of the answer.
    End(Usage),
}

/// A request to an engine failed.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub(crate) enum EngineError {
    /// The connection failed, so nothing was sent.
    #[display("no connection: {detail}")]
    NeverSent {
        /// Error of the operating system.
        detail: String,
        /// Whether the address refused the connection: nothing listens there.
        is_refused: bool,
    },
    /// The engine refused the request and has not started it.
    #[display("refused with {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer belongs to another request.
    #[display("answer belongs to another request")]
    WrongRequest,
    /// No event arrived in time.
    #[display("silent for {limit_ms} ms")]
    Timeout {
        /// Timeout, in ms.
        limit_ms: u64,
    },
    /// The engine is responsive, but the answer can no longer meet its deadline.
    #[display("too late to meet the deadline")]
    TooLate,
    /// The engine ended the stream before its last event.
    #[display("stream ended without a final event")]
    EndedEarly,
    /// The connection failed, or the answer was invalid.
    #[display("broken: {detail}")]
    Broken {
        /// Description of the failure.
        detail: String,
    },
}

/// Stream of the events of an answer.
pub(crate) type EngineEvents = Pin<Box<dyn Stream<Item = Result<EngineEvent, EngineError>>>>;

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    text: String,
}

/// Opens a stream on an engine.
pub(crate) async fn open(
    app: &App,
    address: &str,
    request: &EngineRequest<'_>,
) -> Result<EngineEvents, EngineError> {
    let url = format!("http://{address}/v1/completions");
    let sent = app.client.post(url).send_json(request).await;
    events(sent, request.request_id)
}

/// Resumes a stream after the token with the number `after`.
pub(crate) async fn resume(
    app: &App,
    address: &str,
    request_id: &str,
    after: u32,
) -> Result<EngineEvents, EngineError> {
    let url = format!("http://{address}/v1/streams/{request_id}");
    let request = app.client.get(url).insert_header(("last-event-id", after));
    events(request.send().await, request_id)
}

/// Cancels a request whose answer is no longer needed.
pub(crate) async fn cancel(app: &App, address: &str, request_id: &str) {
    let url = format!("http://{address}/v1/streams/{request_id}");
    let request = app
        .client
        .delete(url)
        .timeout(Duration::from_millis(CANCEL_TIMEOUT_MS));
    if let Err(error) = request.send().await {
        log::debug!(step = "cancel", peer = address, request_id; "{error}");
    }
}

/// Asks an engine for its report; only an answer, whatever it says, shows that its process lives.
pub(crate) async fn ask_report(app: &App, address: &str, timeout_ms: u64) -> Sign {
    let url = format!("http://{address}/report");
    let timeout = Duration::from_millis(timeout_ms);
    let asked = app.client.get(url).timeout(timeout).send().await;
    match asked {
        Ok(_) => Sign::Answered,
        Err(awc::error::SendRequestError::Connect(error)) => sign_of(&never_sent(&error)),
        Err(_) => Sign::Unanswered,
    }
}

/// What the failure to resume a stream shows of the engine that ran it.
pub(crate) fn sign_of(error: &EngineError) -> Sign {
    match error {
        EngineError::NeverSent {
            is_refused: true, ..
        } => Sign::Refused,
        // The process that answers does not have the stream: the one that ran it has ended.
        EngineError::Refused { status: 404 } | EngineError::EndedEarly => Sign::Replaced,
        EngineError::Refused { .. } | EngineError::WrongRequest => Sign::Answered,
        EngineError::NeverSent { .. }
        | EngineError::Timeout { .. }
        | EngineError::TooLate
        | EngineError::Broken { .. } => Sign::Unanswered,
    }
}

fn never_sent(error: &awc::error::ConnectError) -> EngineError {
    let is_refused = match error {
        awc::error::ConnectError::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        _ => false,
    };
    EngineError::NeverSent {
        detail: error.to_string(),
        is_refused,
    }
}

type Sent<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

fn events<S>(sent: Sent<S>, request_id: &str) -> Result<EngineEvents, EngineError>
where
    S: Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin + 'static,
{
    let response = sent.map_err(|error| match error {
        awc::error::SendRequestError::Connect(error) => never_sent(&error),
        error => EngineError::Broken {
            detail: error.to_string(),
        },
    })?;
    if response.status() != StatusCode::OK {
        return Err(EngineError::Refused {
            status: response.status().as_u16(),
        });
    }
    // If an engine or a proxy mixes up connections, the caller would get the answer to another
    // caller's request. Only the id reveals this.
    let named = response.headers().get(REQUEST_ID_HEADER);
    if named.and_then(|value| value.to_str().ok()) != Some(request_id) {
        return Err(EngineError::WrongRequest);
    }
    let events = response.eventsource().filter_map(|event| async {
        match event {
            Ok(event) => part(&event.id, &event.data).transpose(),
            Err(error) => Some(Err(EngineError::Broken {
                detail: error.to_string(),
            })),
        }
    });
    Ok(Box::pin(events))
}

fn part(id: &str, data: &str) -> Result<Option<EngineEvent>, EngineError> {
    if data == "[DONE]" {
        return Ok(None);
    }
    let broken = |detail: String| EngineError::Broken { detail };
    let chunk: Chunk = serde_json::from_str(data).map_err(|error| broken(error.to_string()))?;
    if let Some(usage) = chunk.usage {
        return Ok(Some(EngineEvent::End(usage)));
    }
    let number = id.parse().map_err(|_| broken(format!("event id `{id}`")))?;
    let text = chunk.choices.into_iter().next().map(|choice| choice.text);
    text.map(|text| Some(EngineEvent::Token(number, text)))
        .ok_or_else(|| broken("event without a choice".to_owned()))
}
