//! Refusals and errors as sent to callers.

use actix_http::StatusCode;
use serde::Serialize;
use web::Response;

use crate::app::App;

/// Maximum number of other instances named in a refusal.
const MAX_ALTERNATIVES: usize = 3;

/// Whether a request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ExecutionStatus {
    /// The request has not run and will not: no byte of it reaches an upstream.
    NotRun,
    /// The request may have run, or may still run.
    Unknown,
}

/// Reason of a refusal or error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Code {
    /// The request is malformed.
    BadRequest,
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The key is missing or unknown.
    Unauthorized,
    /// The path or the named object does not exist.
    NotFound,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than records are kept.
    KeyExpired,
    /// A limit of the workspace or the member is exceeded.
    Limited,
    /// No upstream would finish by the deadline.
    TooLate,
    /// No upstream may serve it now.
    NoUpstream,
    /// The instance is not ready, or leaving.
    Unavailable,
    /// The upstream failed.
    Upstream,
}

impl Code {
    fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::KeyExpired => StatusCode::GONE,
            Self::Limited => StatusCode::TOO_MANY_REQUESTS,
            Self::TooLate | Self::NoUpstream | Self::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
            Self::Upstream => StatusCode::BAD_GATEWAY,
        }
    }

    /// Name of the code in bodies and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::KeyReused => "key_reused",
            Self::KeyExpired => "key_expired",
            Self::Limited => "limited",
            Self::TooLate => "too_late",
            Self::NoUpstream => "no_upstream",
            Self::Unavailable => "unavailable",
            Self::Upstream => "upstream",
        }
    }
}

/// A refusal, or an error after which the outcome may be unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) ran: ExecutionStatus,
    pub(crate) message: String,
    pub(crate) retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
}

/// Body of a refusal: the error object that clients of the completion API expect, and additional
/// fields.
#[derive(Serialize)]
struct Body<'a> {
    error: ErrorObject<'a>,
    code: Code,
    ran: ExecutionStatus,
    retry_after_ms: Option<u64>,
    instances: Vec<String>,
    key_prefix: Option<String>,
}

impl Refusal {
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            ran: ExecutionStatus::NotRun,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    pub(crate) fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self {
            ran: ExecutionStatus::Unknown,
            ..Self::new(code, message)
        }
    }

    pub(crate) fn retry_after(self, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }

    /// Encodes the refusal for an event stream, without the fields that name other instances.
    pub(crate) fn event(&self) -> String {
        let body = self.body(Vec::new(), None);
        serde_json::to_string(&body).unwrap_or_default()
    }

    fn body(&self, instances: Vec<String>, key_prefix: Option<String>) -> Body<'_> {
        Body {
            error: ErrorObject {
                message: &self.message,
                r#type: "chicoryrack_error",
                code: self.code.name(),
            },
            code: self.code,
            ran: self.ran,
            retry_after_ms: self.retry_after_ms,
            instances,
            key_prefix,
        }
    }

    pub(crate) fn respond(&self, app: &App) -> Response {
        app.metrics
            .refusals
            .with_label_values(&[self.code.name()])
            .inc();
        let retry = self.retry_after_ms.is_some();
        let (instances, key_prefix) = if retry {
            (alternatives(app), crate::lookup::key_prefix(app))
        } else {
            (Vec::new(), None)
        };
        let mut response = web::json(self.code.status(), &self.body(instances, key_prefix));
        if let Some(ms) = self.retry_after_ms {
            // The header is in whole seconds, rounded up; the body has the exact time.
            let value = actix_http::header::HeaderValue::from(ms.div_ceil(1_000));
            response
                .headers_mut()
                .insert(actix_http::header::RETRY_AFTER, value);
        }
        response
    }
}

fn alternatives(app: &App) -> Vec<String> {
    let peer_table = app.peer_table.borrow();
    let ready = peer_table.ready(app.now_ms(), &app.settings.zone);
    ready
        .iter()
        .take(MAX_ALTERNATIVES)
        .map(|heartbeat| heartbeat.caller_address.clone())
        .collect()
}

impl From<web::BodyError> for Refusal {
    fn from(error: web::BodyError) -> Self {
        let code = match error {
            web::BodyError::TooLarge { .. } => Code::TooLarge,
            web::BodyError::TooSlow { .. } => Code::TooSlow,
            web::BodyError::Broken { .. } | web::BodyError::Json { .. } => Code::BadRequest,
        };
        Self::new(code, error.to_string())
    }
}

impl From<plan::Refusal> for Refusal {
    fn from(refusal: plan::Refusal) -> Self {
        let code = match refusal.reason {
            plan::RefusalReason::Deadline => Code::TooLate,
            plan::RefusalReason::Share | plan::RefusalReason::Workspace => Code::Limited,
            plan::RefusalReason::NoUpstream => Code::NoUpstream,
        };
        Self::new(code, refusal.reason.to_string()).retry_after(refusal.retry_after_ms)
    }
}
