//! Validation of callers' requests.

use std::rc::Rc;

use actix_http::Request;
use conf::{BundleIndex, Tenant};
use plan::rank_index;
use view::RequestKey;

use crate::app::App;
use crate::auth::{header, number, tenant};
use crate::openai::{CompletionRequest, Endpoint};
use crate::refusal::{Code, Refusal};
use crate::runner::CompletionJob;

/// Estimated bytes of a prompt per token, used until the engine reports the real number.
const BYTES_PER_TOKEN: f64 = 4.0;

/// Tenant, class and deadline of a request, validated against the bundle.
pub(crate) struct RequestContext {
    pub(crate) bundle: Rc<BundleIndex>,
    pub(crate) tenant: Tenant,
    pub(crate) class: String,
    pub(crate) rank: usize,
    pub(crate) deadline_ms: u64,
}

/// Validates the headers of a caller's request.
pub(crate) fn request_context(app: &App, request: &Request) -> Result<RequestContext, Refusal> {
    let bundle = app.bundle().ok_or_else(|| {
        Refusal::new(Code::Unavailable, "no bundle is in force").retry_after(1_000)
    })?;
    let tenant = tenant(&bundle, request)?.clone();
    let class = header(request, "x-request-class")
        .unwrap_or(&tenant.class)
        .to_owned();
    let Some(class_settings) = bundle.class(&class) else {
        return Err(Refusal::new(
            Code::BadRequest,
            format!("x-request-class: no class `{class}`"),
        ));
    };
    let rank = rank_index(class_settings.rank);
    let deadline_ms = number(request, "x-deadline-ms")?.unwrap_or(class_settings.deadline_ms);
    if deadline_ms == 0 {
        return Err(Refusal::new(
            Code::BadRequest,
            "x-deadline-ms: must be above 0",
        ));
    }
    Ok(RequestContext {
        bundle,
        tenant,
        class,
        rank,
        deadline_ms,
    })
}

/// Creates a completion job from the body of a request.
pub(crate) fn completion_job(
    app: &App,
    context: &RequestContext,
    body: &CompletionRequest,
    endpoint: Endpoint,
) -> Result<CompletionJob, Refusal> {
    let bad = |text: String| Refusal::new(Code::BadRequest, text);
    let prompt = body
        .prompt(endpoint)
        .map_err(|field| bad(format!("{field}: missing or empty")))?;
    let max = app.settings.limits.stream_tokens;
    let max_tokens = body.max_tokens();
    if max_tokens == 0 || u64::from(max_tokens) > max {
        return Err(bad(format!(
            "max_tokens: {max_tokens} is outside 1 to {max}"
        )));
    }
    let Some(model) = context.bundle.model(&body.model) else {
        let text = format!("model: no model `{}`", body.model);
        return Err(Refusal::new(Code::NotFound, text));
    };
    let now_ms = app.now_ms();
    Ok(CompletionJob {
        id: app.request_id(),
        member: context.tenant.member.clone(),
        share: context.tenant.share,
        class: context.class.clone(),
        rank: context.rank,
        key: RequestKey::of(
            &context.tenant.workspace,
            "",
            &model.name,
            prompt.as_bytes(),
        ),
        model: model.name.clone(),
        model_version: crate::upstreams::version_to_serve(app, model),
        prompt_tokens: (prompt.len() as f64 / BYTES_PER_TOKEN).max(1.0),
        prompt,
        max_tokens,
        arrived_ms: now_ms,
        deadline_ms: now_ms.saturating_add(context.deadline_ms),
    })
}
