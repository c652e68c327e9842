//! Calls to plain services, both retryable and at-most-once.

mod at_most_once;
mod retryable;
mod send;

use std::rc::Rc;

use actix_http::{Request, StatusCode};
use once::IdempotencyKey;
use sha2::{Digest, Sha256};
use web::Response;
use wire::{Answer, Call};

use crate::app::App;
use crate::auth::header;
use crate::completion::WorkspaceSlot;
use crate::refusal::{Code, Refusal};
use crate::request_context::{RequestContext, request_context};
use at_most_once::call_at_most_once;
pub(crate) use at_most_once::run_at_home;
use retryable::call_with_retries;

/// Answers a call to a service.
pub(crate) async fn call(
    app: &Rc<App>,
    mut request: Request,
    service: &str,
    path: &str,
) -> Result<Response, Refusal> {
    let context = request_context(app, &request)?;
    let Some(service_settings) = context.bundle.service(service) else {
        let text = format!("service: no service `{service}`");
        return Err(Refusal::new(Code::NotFound, text));
    };
    let requested = header(&request, "x-deadline-ms").map(|_| context.deadline_ms);
    let deadline_ms = requested.unwrap_or(service_settings.deadline_ms);
    let is_once = service_settings.once_paths.iter().any(|once| once == path);
    let key = if is_once { Some(key(&request)?) } else { None };
    let _slot = WorkspaceSlot::acquire(app, &context.tenant.workspace, context.tenant.in_flight)?;
    let limits = &app.settings.limits;
    let payload = request.take_payload();
    let body = web::read_body(payload, limits.body_bytes as usize, limits.body_timeout_ms).await?;
    let call = Call {
        key: key.as_ref().map(ToString::to_string).unwrap_or_default(),
        body_digest: digest(&context, service, path, &body),
        service: service.to_owned(),
        path: path.to_owned(),
        body: body.to_vec(),
        deadline_ms,
        member: context.tenant.member.clone(),
    };
    let started_ms = app.now_ms();
    let result = match &key {
        None => call_with_retries(app, &call).await,
        Some(key) => call_at_most_once(app, key, call).await,
    };
    let in_time = app.now_ms() <= started_ms + deadline_ms;
    if result.is_ok() {
        let labels = [context.class.as_str(), if in_time { "yes" } else { "no" }];
        app.metrics.answers.with_label_values(&labels).inc();
    }
    result.map(|answer| respond(&answer))
}

fn key(request: &Request) -> Result<IdempotencyKey, Refusal> {
    let text = header(request, "idempotency-key").ok_or_else(|| {
        let text = "Idempotency-Key: missing; this call may not be repeated without one";
        Refusal::new(Code::BadRequest, text)
    })?;
    text.parse()
        .map_err(|error: once::KeyError| Refusal::new(Code::BadRequest, error.to_string()))
}

/// Digest of a call. It includes the workspace, so that a workspace cannot get the answer of
/// another one by guessing its key.
fn digest(context: &RequestContext, service: &str, path: &str, body: &[u8]) -> once::BodyDigest {
    let mut hasher = Sha256::new();
    for part in [
        context.tenant.workspace.as_bytes(),
        service.as_bytes(),
        path.as_bytes(),
        body,
    ] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn respond(answer: &Answer) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    web::text(status, &answer.content_type, answer.body.clone())
}
