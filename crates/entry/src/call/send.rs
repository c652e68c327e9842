//! A single attempt of a call at an instance of a service.

use std::rc::Rc;
use std::time::Duration;

use plan::HealthStatus;
use wire::{Answer, Call};

use crate::app::App;

/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// An attempt ended without an answer.
pub(super) enum CallError {
    /// The connection failed, so nothing was sent.
    NeverSent,
    /// The call may have run.
    Unknown(String),
}

/// Picks an instance of a service: healthy ones first, then by calls in flight, then by zone.
/// Returns its name and address, and the number of alternatives.
pub(super) fn pick_instance(
    app: &App,
    service: &str,
    tried: &[String],
) -> (Option<(String, String)>, usize) {
    let now_ms = app.now_ms();
    let mut upstreams = app.upstreams.borrow_mut();
    let Some(instances) = upstreams.services.get_mut(service) else {
        return (None, 0);
    };
    let mut candidates: Vec<_> = instances
        .iter_mut()
        .filter(|instance| !instance.leaving && !tried.contains(&instance.name))
        .collect();
    candidates.sort_by_key(|instance| {
        let ejected = match instance.health.status(now_ms) {
            HealthStatus::Healthy => 0,
            HealthStatus::Probe => 1,
            HealthStatus::Ejected => 2,
        };
        (ejected, instance.in_flight, !instance.same_zone)
    });
    let alternatives = candidates.len().saturating_sub(1);
    let chosen = candidates.into_iter().next().map(|instance| {
        if instance.health.status(now_ms) == HealthStatus::Probe {
            instance.health.start_probe();
        }
        (instance.name.clone(), instance.address.clone())
    });
    (chosen, alternatives)
}

/// Sends a call, and records its outcome in the health of the instance.
pub(super) async fn send(
    app: &Rc<App>,
    call: &Call,
    name: &str,
    address: &str,
    limit_ms: u64,
) -> Result<Answer, CallError> {
    let _guard = InFlightGuard::new(app, &call.service, name);
    let started_ms = app.now_ms();
    let limit = Duration::from_millis(limit_ms);
    let exchanged = actix_rt::time::timeout(limit, exchange(app, call, address)).await;
    let result = exchanged
        .unwrap_or_else(|_| Err(CallError::Unknown(format!("no answer in {limit_ms} ms"))));
    let now_ms = app.now_ms();
    let mut upstreams = app.upstreams.borrow_mut();
    if let Some(instance) = upstreams.service_mut(&call.service, name) {
        match &result {
            // The duration of calls varies too much to indicate health, so only failures count.
            Ok(_) => instance.health.record_latency(now_ms, 1.0, 1.0),
            Err(_) => instance.health.record_failure(now_ms),
        }
    }
    if let Err(CallError::Unknown(detail)) = &result {
        log::info!(
            step = "service", peer = name, took_ms = now_ms - started_ms, key = call.key.as_str();
            "{detail}"
        );
    }
    result
}

async fn exchange(app: &App, call: &Call, address: &str) -> Result<Answer, CallError> {
    let url = format!("http://{address}{}", call.path);
    let mut request = app.client.post(url);
    if !call.key.is_empty() {
        request = request.insert_header(("idempotency-key", call.key.as_str()));
    }
    let sent = request
        .insert_header(("x-member", call.member.as_str()))
        .send_body(call.body.clone())
        .await;
    let mut response = sent.map_err(|error| match error {
        awc::error::SendRequestError::Connect(_) => CallError::NeverSent,
        error => CallError::Unknown(error.to_string()),
    })?;
    let content_type = response.headers().get("content-type");
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let content_type = content_type.to_owned();
    let body = response.body().limit(MAX_ANSWER_BYTES).await;
    let body = body.map_err(|error| CallError::Unknown(error.to_string()))?;
    Ok(Answer {
        status: response.status().as_u16(),
        content_type,
        body: body.to_vec(),
    })
}

/// Counts a call as in flight at an instance until it is dropped.
struct InFlightGuard {
    app: Rc<App>,
    service: String,
    name: String,
}

impl InFlightGuard {
    fn new(app: &Rc<App>, service: &str, name: &str) -> Self {
        let guard = Self {
            app: app.clone(),
            service: service.to_owned(),
            name: name.to_owned(),
        };
        guard.change(1);
        guard
    }

    fn change(&self, by: i32) {
        let mut upstreams = self.app.upstreams.borrow_mut();
        if let Some(instance) = upstreams.service_mut(&self.service, &self.name) {
            instance.in_flight = instance.in_flight.saturating_add_signed(by);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.change(-1);
    }
}
