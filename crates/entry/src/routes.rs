//! Routes requests to their handlers.

use std::rc::Rc;

use actix_http::{Method, Request, StatusCode};
use serde::Serialize;
use web::Response;
use wire::Condition;

use crate::app::App;
use crate::auth::tenant;
use crate::openai::Endpoint;
use crate::refusal::{Code, Refusal};
use crate::{admin, call, completion, lookup, resume};

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct Models<'a> {
    object: &'static str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct InForce<'a> {
    version: u64,
    digest: &'a str,
    offset: u64,
    instances: Vec<InstanceVersion>,
}

#[derive(Serialize)]
struct InstanceVersion {
    instance: String,
    version: u64,
}

/// Handles a request.
pub(crate) async fn handle_request(app: Rc<App>, request: Request) -> Response {
    let answered = handle(&app, request).await;
    let mut response = answered.unwrap_or_else(|refusal| refusal.respond(&app));
    if app.condition.get() == Condition::Leaving {
        // Otherwise callers with persistent connections would stay until the instance stops.
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn handle(app: &Rc<App>, request: Request) -> Result<Response, Refusal> {
    let path = request.path().to_owned();
    let method = request.method().clone();
    if let Some(rest) = path.strip_prefix("/admin/v1/") {
        return admin::handle(app, request, rest).await;
    }
    match (&method, path.as_str()) {
        (&Method::GET, "/healthz") => return Ok(web::text(StatusCode::OK, "text/plain", "ok\n")),
        (&Method::GET, "/readyz") => return Ok(readiness(app)),
        (&Method::GET, "/metrics") => {
            return Ok(web::text(
                StatusCode::OK,
                "text/plain; version=0.0.4",
                app.metrics.text(),
            ));
        }
        (&Method::GET, "/v1/lookup") => {
            let query = web::parse_query(&request)?;
            return Ok(web::json(StatusCode::OK, &lookup::lookup(app, &query)));
        }
        _ => {}
    }
    if app.condition.get() == Condition::Starting {
        let text = "this instance has no current state yet";
        return Err(Refusal::new(Code::Unavailable, text).retry_after(500));
    }
    // Persistent connections outlive the listener.
    if app.closed.get() {
        let text = "this instance is leaving and takes nothing new";
        return Err(Refusal::new(Code::Unavailable, text).retry_after(0));
    }
    match (&method, path.as_str()) {
        (&Method::GET, "/v1/models") => models(app, &request),
        (&Method::GET, "/v1/bundle") => in_force(app, &request),
        (&Method::POST, "/v1/chat/completions") => {
            completion::complete(app, request, Endpoint::Chat).await
        }
        (&Method::POST, "/v1/completions") => {
            completion::complete(app, request, Endpoint::Text).await
        }
        _ => route_by_prefix(app, request, &method, &path).await,
    }
}

async fn route_by_prefix(
    app: &Rc<App>,
    request: Request,
    method: &Method,
    path: &str,
) -> Result<Response, Refusal> {
    if let (&Method::GET, Some(token)) = (method, path.strip_prefix("/v1/streams/")) {
        return resume::resume(app, &request, token).await;
    }
    if let (&Method::POST, Some(rest)) = (method, path.strip_prefix("/v1/services/")) {
        let (service, rest) = rest.split_once('/').unwrap_or((rest, ""));
        return call::call(app, request, service, &format!("/{rest}")).await;
    }
    Err(Refusal::new(Code::NotFound, "path: nothing there"))
}

fn readiness(app: &App) -> Response {
    let (status, text) = match app.condition.get() {
        Condition::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting\n"),
        Condition::Ready => (StatusCode::OK, "ready\n"),
        Condition::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving\n"),
    };
    web::text(status, "text/plain", text)
}

fn models(app: &App, request: &Request) -> Result<Response, Refusal> {
    let bundle = app.bundle().ok_or_else(no_bundle)?;
    tenant(&bundle, request)?;
    let data = bundle.bundle().models.iter().map(|model| Model {
        id: &model.name,
        object: "model",
        owned_by: "chicoryrack",
    });
    let models = Models {
        object: "list",
        data: data.collect(),
    };
    Ok(web::json(StatusCode::OK, &models))
}

/// The bundle in force here and its version at every live instance; available to all members.
fn in_force(app: &App, request: &Request) -> Result<Response, Refusal> {
    let bundle = app.bundle().ok_or_else(no_bundle)?;
    tenant(&bundle, request)?;
    let peer_table = app.peer_table.borrow();
    let peers = peer_table
        .live(app.now_ms())
        .map(|heartbeat| InstanceVersion {
            instance: heartbeat.instance.clone(),
            version: heartbeat.bundle_version,
        });
    let me = InstanceVersion {
        instance: app.identity.instance.clone(),
        version: bundle.bundle().version,
    };
    let in_force = InForce {
        version: bundle.bundle().version,
        digest: bundle.digest(),
        offset: app.log_reader.borrow().state().in_force_offset(),
        instances: std::iter::once(me).chain(peers).collect(),
    };
    Ok(web::json(StatusCode::OK, &in_force))
}

fn no_bundle() -> Refusal {
    Refusal::new(Code::Unavailable, "no bundle is in force").retry_after(1_000)
}
