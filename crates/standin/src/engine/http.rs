//! HTTP interface of the engine: completions as server-sent events, orders and reports.

use std::time::Duration;

use actix_http::{HttpMessage, Method, Request, StatusCode};
use bytes::Bytes;
use plan::RANKS;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;
use web::{BodyError, Response};

use super::orders::OrderDecision;
use super::streams::{NewStream, Stream};
use super::{EngineFaults, EngineStandin, POISON_MARKER, PoisonBehavior};
use crate::prompt_tokens;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Maximum number of event batches buffered for one connection.
const EVENT_BUFFER: usize = 16;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Completion {
    request_id: String,
    model: String,
    prompt: String,
    #[serde(default)]
    generated: String,
    max_tokens: u32,
    #[serde(default)]
    priority: usize,
    #[serde(default)]
    order: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewOrder {
    order: u64,
    kind: String,
    argument: String,
}

impl EngineStandin {
    pub(super) async fn answer(&self, request: Request) -> Response {
        if self.holds_requests() {
            std::future::pending::<()>().await;
        }
        match self.handle(request).await {
            Ok(response) => response,
            Err(error) => web::text(error.status(), "text/plain", error.to_string()),
        }
    }

    async fn handle(&self, mut request: Request) -> Result<Response, BodyError> {
        let method = request.method().clone();
        let path = request.path().to_owned();
        let stream = path.strip_prefix("/v1/streams/").unwrap_or_default();
        Ok(match method {
            Method::GET if path == "/report" => {
                let report = self.inner.borrow().report(self.clock.now_ms());
                web::json(StatusCode::OK, &report)
            }
            Method::GET if !stream.is_empty() => self.resume(stream, last_event(&request)),
            Method::DELETE if !stream.is_empty() => self.cancel(stream),
            Method::POST if path == "/v1/completions" => {
                let body = web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await?;
                self.complete(web::parse_json(&body)?)
            }
            Method::POST if path == "/orders" => {
                let body = web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await?;
                self.order(web::parse_json(&body)?)
            }
            Method::PUT if path == "/faults" => {
                let body = web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await?;
                self.set_faults(web::parse_json::<EngineFaults>(&body)?);
                web::empty(StatusCode::NO_CONTENT)
            }
            _ => web::empty(StatusCode::NOT_FOUND),
        })
    }

    fn complete(&self, completion: Completion) -> Response {
        let mut inner = self.inner.borrow_mut();
        let loaded = inner.options.loaded.contains(&completion.model);
        if inner.faults.refuse || inner.orders.blocks_work() || !loaded {
            return web::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let crashes = inner.faults.poison_behavior == PoisonBehavior::Crashes
            && completion.prompt.contains(POISON_MARKER);
        let tokens = prompt_tokens(&completion.prompt);
        let new = NewStream {
            name: completion.request_id,
            prompt: completion.prompt,
            generated: completion.generated,
            prompt_tokens: tokens,
            max_tokens: completion.max_tokens,
            rank: completion.priority.min(RANKS - 1),
            order: completion.order,
        };
        let Some(job) = inner.streams.open(self.clock.now_ms(), new) else {
            return web::empty(StatusCode::CONFLICT);
        };
        inner.batch.push(job);
        drop(inner);
        self.wake_up.notify_one();
        if crashes {
            self.kill();
        }
        self.stream_from(job.id, 0)
    }

    fn resume(&self, name: &str, from: u32) -> Response {
        let id = self.inner.borrow().streams.id(name);
        id.map_or_else(
            || web::empty(StatusCode::NOT_FOUND),
            |id| self.stream_from(id, from),
        )
    }

    fn cancel(&self, name: &str) -> Response {
        let mut inner = self.inner.borrow_mut();
        if let Some(id) = inner.streams.cancel(name) {
            inner.batch.cancel(id);
        }
        web::empty(StatusCode::NO_CONTENT)
    }

    fn stream_from(&self, id: u64, from: u32) -> Response {
        let (sender, receiver) = mpsc::channel(EVENT_BUFFER);
        let inner = self.inner.borrow();
        let crossed = inner.faults.cross_ids;
        let name = inner.streams.get(id).map(|stream| stream.name.clone());
        drop(inner);
        actix_rt::spawn(self.clone().send_events(id, from, sender));
        let mut response = web::stream("text/event-stream", receiver);
        let name = name.unwrap_or_default();
        let name = if crossed {
            format!("{name}-other")
        } else {
            name
        };
        if let Ok(value) = name.parse() {
            let header = actix_http::header::HeaderName::from_static("x-request-id");
            response.headers_mut().insert(header, value);
        }
        response
    }

    async fn send_events(self, id: u64, from: u32, sender: mpsc::Sender<Bytes>) {
        self.inner
            .borrow_mut()
            .streams
            .update_readers(self.clock.now_ms(), id, true);
        let mut position = from;
        while let Some(events) = self.events(id, &mut position) {
            let progress = self
                .inner
                .borrow()
                .streams
                .get(id)
                .map(|stream| stream.progress.clone());
            if events.is_empty() {
                let Some(progress) = progress else { break };
                tokio::select! {
                    () = progress.notified() => {}
                    () = sender.closed() => break,
                    () = actix_rt::time::sleep(Duration::from_millis(20)) => {}
                }
                continue;
            }
            if sender.send(Bytes::from(events)).await.is_err() {
                break;
            }
        }
        self.inner
            .borrow_mut()
            .streams
            .update_readers(self.clock.now_ms(), id, false);
    }

    /// Encodes the events from a position on and advances the position. Returns `None` after the
    /// last event, if the stream failed, or if the connection is to be cut.
    fn events(&self, id: u64, position: &mut u32) -> Option<String> {
        let mut inner = self.inner.borrow_mut();
        let cut_after = inner.faults.cut_after;
        let stream = inner.streams.get_mut(id)?;
        if stream.failed {
            return None;
        }
        if cut_after > 0 && *position >= cut_after && !stream.was_cut {
            stream.was_cut = true;
            return None;
        }
        if *position > stream.total {
            return None;
        }
        let mut events = String::new();
        let from = (*position).max(stream.generated);
        for token in from..stream.produced {
            events += &token_event(stream, token);
            *position = token + 1;
        }
        if stream.is_done() {
            events += &end_event(stream);
            *position = stream.total + 1;
        }
        Some(events)
    }

    fn order(&self, order: NewOrder) -> Response {
        match self
            .inner
            .borrow_mut()
            .orders
            .accept(order.order, &order.kind, &order.argument)
        {
            OrderDecision::Stale => return web::empty(StatusCode::CONFLICT),
            OrderDecision::Duplicate => return web::empty(StatusCode::ACCEPTED),
            OrderDecision::New => {}
        }
        actix_rt::spawn(self.clone().carry_out(order));
        web::empty(StatusCode::ACCEPTED)
    }

    async fn carry_out(self, order: NewOrder) {
        let (change_ms, weights) = {
            let inner = self.inner.borrow();
            (
                inner.options.profile.change_ms,
                inner.options.weight_store.clone(),
            )
        };
        match order.kind.as_str() {
            "role" => {
                while !self.inner.borrow().batch.is_idle() {
                    actix_rt::time::sleep(Duration::from_millis(10)).await;
                }
                actix_rt::time::sleep(Duration::from_millis(change_ms)).await;
                if let Ok(role) = order.argument.parse() {
                    self.inner.borrow_mut().batch.set_role(role);
                }
            }
            "load" => {
                if !weights.is_empty() {
                    let url = format!("http://{weights}/weights/{}", order.argument);
                    let client = awc::Client::builder().disable_timeout().finish();
                    let _ = client.get(url).send().await;
                }
                self.inner
                    .borrow_mut()
                    .options
                    .loaded
                    .push(order.argument.clone());
            }
            _ => {
                let mut inner = self.inner.borrow_mut();
                inner
                    .options
                    .loaded
                    .retain(|loaded| *loaded != order.argument);
            }
        }
        self.inner.borrow_mut().orders.finish(order.order);
    }
}

fn last_event(request: &Request) -> u32 {
    let value = request.headers().get("last-event-id");
    value
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn token_event(stream: &Stream, token: u32) -> String {
    let data = json!({ "choices": [{ "index": 0, "text": stream.token(token) }] });
    format!("id: {}\ndata: {data}\n\n", token + 1)
}

fn end_event(stream: &Stream) -> String {
    let data = json!({
        "choices": [{ "index": 0, "text": "", "finish_reason": "stop" }],
        "usage": {
            "prompt_tokens": stream.prompt_tokens,
            "completion_tokens": stream.total,
            "cached_tokens": stream.cached,
        },
    });
    format!("data: {data}\n\ndata: [DONE]\n\n")
}
