//! Talks to a model engine: opens, resumes and cancels streams.

use std::pin::Pin;
use std::time::Duration;

use actix_http::StatusCode;
use derive_more::{Display, Error};
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use serde::{Deserialize, Serialize};

use crate::app::App;

/// Time that a cancel may take; it is sent once and its loss costs engine time only.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Header in which an engine names the request that an answer belongs to.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// What an engine is asked to do.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct EngineRequest<'a> {
    pub(crate) request_id: &'a str,
    pub(crate) model: &'a str,
    pub(crate) prompt: &'a str,
    pub(crate) generated: &'a str,
    pub(crate) max_tokens: u32,
    pub(crate) priority: usize,
}

/// Tokens that an answer cost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Usage {
    #[serde(default)]
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    #[serde(default)]
    pub(crate) cached_tokens: u32,
}

/// Part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// A token with its number, from 1.
    Token(u32, String),
    /// The end mark.
    End(Usage),
}

/// An engine did not answer as it should.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub(crate) enum EngineError {
    /// No connection could be made: nothing was asked.
    #[display("no connection: {detail}")]
    NeverSent {
        /// What the system said.
        detail: String,
    },
    /// It refused and has not begun.
    #[display("refused with {status}")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// The answer belongs to another request.
    #[display("answer of another request")]
    WrongRequest,
    /// Nothing came for too long.
    #[display("silent for {limit_ms} ms")]
    Timeout {
        /// How long.
        limit_ms: u64,
    },
    /// It lives, but the answer can no longer be in time.
    #[display("too late")]
    TooLate,
    /// The connection broke, or what came was no answer.
    #[display("broken: {detail}")]
    Broken {
        /// What went wrong.
        detail: String,
    },
}

/// Parts of an answer as they come.
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

/// Opens a stream again, after the token of a number.
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

/// Tells an engine that nobody waits for an answer any more.
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

type Sent<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

fn events<S>(sent: Sent<S>, request_id: &str) -> Result<EngineEvents, EngineError>
where
    S: Stream<Item = Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin + 'static,
{
    let response = sent.map_err(|error| match error {
        awc::error::SendRequestError::Connect(error) => EngineError::NeverSent {
            detail: error.to_string(),
        },
        error => EngineError::Broken {
            detail: error.to_string(),
        },
    })?;
    if response.status() != StatusCode::OK {
        return Err(EngineError::Refused {
            status: response.status().as_u16(),
        });
    }
    // A connection that an engine or something between has mixed up would hand this caller the
    // answer to another's question; the id is the only thing that tells.
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
