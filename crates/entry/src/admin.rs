//! Administration API, with which operators manage bundles and drains, and inspect the deployment.

use std::rc::Rc;

use actix_http::{Method, Request, StatusCode};
use feed::Outcome;
use serde::{Deserialize, Serialize};
use web::Response;
use wire::{Body, BundlePublished, BundleRef};

use crate::app::App;
use crate::auth::operator;
use crate::refusal::{Code, Refusal};

/// Timeout for reading a record back from the log.
const CONFIRM_TIMEOUT_MS: u64 = 5_000;

/// Maximum size of a bundle, in bytes. 12,000 workspaces at about 200 bytes take 2.4 MB.
const MAX_BUNDLE_BYTES: usize = 8 << 20;

/// Maximum number of entries in a page of the audit trail or of workspaces.
const PAGE_ENTRIES: usize = 200;

#[derive(Serialize)]
struct ChangeResult<'a> {
    accepted: bool,
    offset: u64,
    outcome: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<&'a str>,
}

#[derive(Serialize)]
struct CheckResult {
    valid: bool,
    problems: Vec<conf::Problem>,
}

#[derive(Serialize)]
struct BundleView<'a> {
    version: u64,
    digest: &'a str,
    base: u64,
    offset: u64,
    signed_by: &'a str,
    withdrawn: bool,
    in_force: bool,
}

#[derive(Serialize)]
struct InstanceView<'a> {
    instance: &'a str,
    zone: &'a str,
    condition: String,
    bundle_version: u64,
    applied_offset: u64,
}

#[derive(Serialize)]
struct EngineView {
    engine: String,
    group: String,
    role: String,
    presence: String,
    loaded: Vec<String>,
    drained: bool,
    slowness: f64,
}

#[derive(Serialize)]
struct Status<'a> {
    version: u64,
    digest: String,
    offset: u64,
    log_up: bool,
    learned_from: &'a str,
    instances: Vec<InstanceView<'a>>,
    engines: Vec<EngineView>,
}

#[derive(Serialize)]
struct AuditView<'a> {
    offset: u64,
    wall_ms: u64,
    actor: &'a str,
    action: &'a str,
    outcome: &'a str,
}

#[derive(Serialize)]
struct WorkspaceView<'a> {
    member: &'a str,
    workspace: &'a str,
    in_flight: u32,
}

#[derive(Deserialize)]
struct AuditQuery {
    #[serde(default)]
    before: Option<u64>,
}

#[derive(Deserialize)]
struct WorkspaceQuery {
    member: Option<String>,
    #[serde(default)]
    after: String,
}

/// Handles a request under `/admin/v1/`.
pub(crate) async fn handle(
    app: &Rc<App>,
    mut request: Request,
    path: &str,
) -> Result<Response, Refusal> {
    let operator = operator(app, &request)?;
    let parts: Vec<&str> = path.split('/').collect();
    let method = request.method().clone();
    match (&method, parts.as_slice()) {
        (&Method::POST, ["bundles"]) => {
            let text = read_bundle(app, &mut request).await?;
            publish(app, &operator, &text).await
        }
        (&Method::POST, ["bundles", "check"]) => {
            let text = read_bundle(app, &mut request).await?;
            Ok(check(&text))
        }
        (&Method::GET, ["bundles"]) => Ok(list(app)),
        (&Method::GET, ["bundles", version]) => show(app, version),
        (&Method::POST, ["bundles", version, verb]) => {
            let bundle = bundle_ref(app, version)?;
            let body = match *verb {
                "sign" => Body::BundleSigned(bundle),
                "roll" => Body::BundleRolled(bundle),
                "withdraw" => Body::BundleWithdrawn(bundle),
                _ => return Err(unknown_path()),
            };
            change(app, &operator, body).await
        }
        (&Method::GET, ["engines"]) => Ok(web::json(StatusCode::OK, &engines(app))),
        (&Method::POST, ["engines", engine, verb]) => {
            if !app.upstreams.borrow().engines.contains_key(*engine) {
                let text = format!("engine: no engine `{engine}`");
                return Err(Refusal::new(Code::NotFound, text));
            }
            let body = match *verb {
                "drain" => Body::EngineDrained((*engine).to_owned()),
                "undrain" => Body::EngineUndrained((*engine).to_owned()),
                _ => return Err(unknown_path()),
            };
            change(app, &operator, body).await
        }
        (&Method::GET, ["status"]) => Ok(status(app)),
        (&Method::GET, ["audit"]) => Ok(audit(app, &web::parse_query(&request)?)),
        (&Method::GET, ["workspaces"]) => workspaces(app, &web::parse_query(&request)?),
        _ => Err(unknown_path()),
    }
}

fn unknown_path() -> Refusal {
    Refusal::new(Code::NotFound, "path: nothing there")
}

async fn read_bundle(app: &App, request: &mut Request) -> Result<String, Refusal> {
    let limit_ms = app.settings.limits.body_timeout_ms;
    let body = web::read_body(request.take_payload(), MAX_BUNDLE_BYTES, limit_ms).await?;
    let text = String::from_utf8(body.to_vec());
    text.map_err(|error| Refusal::new(Code::BadRequest, format!("body: {error}")))
}

fn problems(text: &str) -> Result<conf::Bundle, Vec<conf::Problem>> {
    conf::parse_bundle(text, "bundle").map_err(|error| error.problems())
}

fn check(text: &str) -> Response {
    let problems = problems(text).err().unwrap_or_default();
    let valid = problems.is_empty();
    let status = if valid {
        StatusCode::OK
    } else {
        StatusCode::UNPROCESSABLE_ENTITY
    };
    web::json(status, &CheckResult { valid, problems })
}

async fn publish(app: &Rc<App>, operator: &str, text: &str) -> Result<Response, Refusal> {
    let Ok(bundle) = problems(text) else {
        return Ok(check(text));
    };
    let digest = conf::digest(text);
    let body = Body::BundlePublished(BundlePublished {
        version: bundle.version,
        base: bundle.base,
        digest: digest.clone(),
        text: text.to_owned(),
    });
    let (offset, outcome) = append_and_confirm(app, operator, body).await?;
    Ok(change_result(
        offset,
        &outcome,
        Some(bundle.version),
        Some(&digest),
    ))
}

async fn change(app: &Rc<App>, operator: &str, body: Body) -> Result<Response, Refusal> {
    let (offset, outcome) = append_and_confirm(app, operator, body).await?;
    Ok(change_result(offset, &outcome, None, None))
}

async fn append_and_confirm(
    app: &Rc<App>,
    operator: &str,
    body: Body,
) -> Result<(u64, Outcome), Refusal> {
    if !app.log_up.get() {
        let text = "the log is down; nothing was written";
        return Err(Refusal::new(Code::Unavailable, text).retry_after(2_000));
    }
    let confirmation = app
        .append_and_wait(operator, body, CONFIRM_TIMEOUT_MS)
        .await;
    confirmation.ok_or_else(|| {
        let text = "the log has not confirmed it; look at the audit trail before asking again";
        Refusal::unknown(Code::Unavailable, text).retry_after(2_000)
    })
}

fn change_result(
    offset: u64,
    outcome: &Outcome,
    version: Option<u64>,
    digest: Option<&str>,
) -> Response {
    let accepted = *outcome == Outcome::Accepted;
    let status = if accepted {
        StatusCode::OK
    } else {
        StatusCode::CONFLICT
    };
    let body = ChangeResult {
        accepted,
        offset,
        outcome: outcome.to_string(),
        version,
        digest,
    };
    web::json(status, &body)
}

fn bundle_ref(app: &App, version: &str) -> Result<BundleRef, Refusal> {
    let bad = |_| Refusal::new(Code::BadRequest, "version: a whole number expected");
    let version: u64 = version.parse().map_err(bad)?;
    let log_reader = app.log_reader.borrow();
    let known = log_reader.state().bundle(version);
    let unknown = || Refusal::new(Code::NotFound, format!("version: no bundle {version}"));
    known.ok_or_else(unknown).map(|bundle| BundleRef {
        version,
        digest: bundle.published.digest.clone(),
    })
}

fn list(app: &App) -> Response {
    let log_reader = app.log_reader.borrow();
    let in_force = log_reader
        .state()
        .in_force()
        .map(|bundle| bundle.published.version);
    let views: Vec<BundleView> = log_reader
        .state()
        .bundles()
        .map(|bundle| BundleView {
            version: bundle.published.version,
            digest: &bundle.published.digest,
            base: bundle.published.base,
            offset: bundle.offset,
            signed_by: &bundle.signed_by,
            withdrawn: bundle.withdrawn,
            in_force: Some(bundle.published.version) == in_force,
        })
        .collect();
    web::json(StatusCode::OK, &views)
}

fn show(app: &App, version: &str) -> Result<Response, Refusal> {
    let bundle = bundle_ref(app, version)?;
    let log_reader = app.log_reader.borrow();
    let text = log_reader
        .state()
        .bundle(bundle.version)
        .map(|bundle| bundle.published.text.clone());
    Ok(web::text(
        StatusCode::OK,
        "application/json",
        text.unwrap_or_default(),
    ))
}

fn engines(app: &App) -> Vec<EngineView> {
    let upstreams = app.upstreams.borrow();
    let log_reader = app.log_reader.borrow();
    let fleet = app.fleet.borrow();
    let view = |engine: &plan::Engine| {
        let entry = upstreams.engines.get(&engine.name);
        let report = entry.and_then(|entry| entry.report.as_ref());
        EngineView {
            engine: engine.name.clone(),
            group: engine.group.clone(),
            role: engine.role.to_string(),
            presence: format!("{:?}", engine.presence).to_lowercase(),
            loaded: report.map_or_else(Vec::new, |report| report.loaded.clone()),
            drained: log_reader.state().is_drained(&engine.name),
            slowness: engine.health.slowness(),
        }
    };
    fleet.iter().map(view).collect()
}

fn status(app: &App) -> Response {
    let peer_table = app.peer_table.borrow();
    let learned_from = app.learned_from.borrow();
    let log_reader = app.log_reader.borrow();
    let bundle = app.bundle();
    let version = bundle.as_ref().map_or(0, |bundle| bundle.bundle().version);
    let condition = format!("{:?}", app.condition.get()).to_lowercase();
    let me = InstanceView {
        instance: &app.identity.instance,
        zone: &app.settings.zone,
        condition,
        bundle_version: version,
        applied_offset: log_reader.state().next_offset(),
    };
    let peers = peer_table.live(app.now_ms()).map(|heartbeat| InstanceView {
        instance: &heartbeat.instance,
        zone: &heartbeat.zone,
        condition: format!("{:?}", heartbeat.condition).to_lowercase(),
        bundle_version: heartbeat.bundle_version,
        applied_offset: heartbeat.applied_offset,
    });
    let instances = std::iter::once(me).chain(peers).collect();
    let status = Status {
        version,
        digest: bundle.map_or(String::new(), |bundle| bundle.digest().to_owned()),
        offset: log_reader.state().in_force_offset(),
        log_up: app.log_up.get(),
        learned_from: &learned_from,
        instances,
        engines: engines(app),
    };
    web::json(StatusCode::OK, &status)
}

/// A page of the audit trail, newest entries first.
fn audit(app: &App, query: &AuditQuery) -> Response {
    let log_reader = app.log_reader.borrow();
    let before = query.before.unwrap_or(u64::MAX);
    let entries = log_reader
        .state()
        .audit()
        .rev()
        .filter(|entry| entry.offset < before);
    let views: Vec<AuditView> = entries
        .take(PAGE_ENTRIES)
        .map(|entry| AuditView {
            offset: entry.offset,
            wall_ms: entry.wall_ms,
            actor: &entry.actor,
            action: &entry.action,
            outcome: &entry.outcome,
        })
        .collect();
    web::json(StatusCode::OK, &views)
}

/// A page of workspaces, sorted by name.
fn workspaces(app: &App, query: &WorkspaceQuery) -> Result<Response, Refusal> {
    let bundle = app.bundle();
    let bundle = bundle.ok_or_else(|| Refusal::new(Code::Unavailable, "no bundle is in force"))?;
    let wanted = |member: &&conf::Member| {
        query
            .member
            .as_ref()
            .is_none_or(|name| *name == member.name)
    };
    let mut views: Vec<WorkspaceView> = Vec::new();
    for member in bundle.bundle().members.iter().filter(wanted) {
        let later = member
            .workspaces
            .iter()
            .filter(|workspace| workspace.name > query.after);
        views.extend(later.map(|workspace| WorkspaceView {
            member: &member.name,
            workspace: &workspace.name,
            in_flight: workspace.in_flight,
        }));
    }
    views.sort_by_key(|view| view.workspace);
    views.truncate(PAGE_ENTRIES);
    Ok(web::json(StatusCode::OK, &views))
}
