//! Calls to plain services, those that may not be repeated among them.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, StatusCode};
use once::{Admission, Key};
use plan::{AttemptBudget, Verdict};
use sha2::{Digest, Sha256};
use web::Response;
use wire::{Answer, Call, CallState, CallStatus, ClaimVerdict};

use crate::app::App;
use crate::auth::header;
use crate::caller::{Asked, asked};
use crate::completion::Place;
use crate::refusal::{Code, Refusal};

/// Time that a witness or a home may take for a word about a key.
const PEER_MS: u64 = 800;

/// Largest answer of a service, in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// Answers a call to a service.
pub(crate) async fn call(
    app: &Rc<App>,
    mut request: Request,
    service: &str,
    path: &str,
) -> Result<Response, Refusal> {
    let asked = asked(app, &request)?;
    let Some(known) = asked.bundle.service(service) else {
        let text = format!("service: no service `{service}`");
        return Err(Refusal::new(Code::NotFound, text));
    };
    let own = header(&request, "x-deadline-ms").map(|_| asked.deadline_ms);
    let deadline_ms = own.unwrap_or(known.deadline_ms);
    let is_once = known.once_paths.iter().any(|once| once == path);
    let key = if is_once { Some(key(&request)?) } else { None };
    let _place = Place::take(app, &asked.tenant.workspace, asked.tenant.in_flight)?;
    let limits = &app.settings.limits;
    let payload = request.take_payload();
    let body = web::read_body(payload, limits.body_bytes as usize, limits.body_timeout_ms).await?;
    let call = Call {
        key: key.as_ref().map(ToString::to_string).unwrap_or_default(),
        body_digest: digest(&asked, service, path, &body),
        service: service.to_owned(),
        path: path.to_owned(),
        body: body.to_vec(),
        deadline_ms,
        member: asked.tenant.member.clone(),
    };
    let begun_ms = app.now_ms();
    let result = match &key {
        None => repeatable(app, &call).await,
        Some(key) => once_only(app, key, call).await,
    };
    let in_time = app.now_ms() <= begun_ms + deadline_ms;
    if result.is_ok() {
        let labels = [asked.class.as_str(), if in_time { "yes" } else { "no" }];
        app.metrics.answers.with_label_values(&labels).inc();
    }
    result.map(|answer| respond(&answer))
}

fn key(request: &Request) -> Result<Key, Refusal> {
    let text = header(request, "idempotency-key").ok_or_else(|| {
        let text = "Idempotency-Key: missing; this call may not be repeated without one";
        Refusal::new(Code::BadRequest, text)
    })?;
    text.parse()
        .map_err(|error: once::KeyError| Refusal::new(Code::BadRequest, error.to_string()))
}

/// Covers the workspace, so that one cannot learn another's answer with a guessed key.
fn digest(asked: &Asked, service: &str, path: &str, body: &[u8]) -> once::BodyDigest {
    let mut hasher = Sha256::new();
    for part in [
        asked.tenant.workspace.as_bytes(),
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

/// How an attempt at one instance of a service ended without an answer.
enum Failed {
    /// No connection was made: nothing was sent.
    NeverSent,
    /// It may have run.
    Unknown(String),
}

/// A call that may be repeated: tried elsewhere for as long as its deadline allows.
async fn repeatable(app: &Rc<App>, call: &Call) -> Result<Answer, Refusal> {
    let deadline_ms = app.now_ms() + call.deadline_ms;
    let mut tried = Vec::new();
    let mut touched = false;
    app.retries.borrow_mut().earn();
    loop {
        let (chosen, others) = pick(app, &call.service, &tried);
        let left_ms = deadline_ms.saturating_sub(app.now_ms());
        let budget = AttemptBudget::next(left_ms, others);
        let (Some((name, address)), Some(budget)) = (chosen, budget) else {
            let text = format!("service {}: none is left to try", call.service);
            let ended = if touched {
                Refusal::unknown(Code::Upstream, text)
            } else {
                Refusal::new(Code::NoUpstream, text)
            };
            return Err(ended.retry_after(500));
        };
        let reason = match send(app, call, &name, &address, budget.spend_ms).await {
            Ok(answer) => return Ok(answer),
            Err(Failed::NeverSent) => "connect",
            Err(Failed::Unknown(_)) => {
                touched = true;
                "service"
            }
        };
        tried.push(name);
        app.metrics.retries.with_label_values(&[reason]).inc();
        if !app.retries.borrow_mut().spend() {
            let text = "no retry is left";
            return Err(Refusal::unknown(Code::Upstream, text).retry_after(1_000));
        }
    }
}

/// The instance of a service with the least in flight, nearest first, and how many others fit.
fn pick(app: &App, service: &str, tried: &[String]) -> (Option<(String, String)>, usize) {
    let now_ms = app.now_ms();
    let mut upstreams = app.upstreams.borrow_mut();
    let Some(instances) = upstreams.services.get_mut(service) else {
        return (None, 0);
    };
    let mut fit: Vec<_> = instances
        .iter_mut()
        .filter(|instance| !instance.leaving && !tried.contains(&instance.name))
        .collect();
    fit.sort_by_key(|instance| {
        let ejected = match instance.health.verdict(now_ms) {
            Verdict::Fit => 0,
            Verdict::Probe => 1,
            Verdict::Ejected => 2,
        };
        (ejected, instance.in_flight, !instance.near)
    });
    let others = fit.len().saturating_sub(1);
    let chosen = fit.into_iter().next().map(|instance| {
        if instance.health.verdict(now_ms) == Verdict::Probe {
            instance.health.probe();
        }
        (instance.name.clone(), instance.address.clone())
    });
    (chosen, others)
}

async fn send(
    app: &Rc<App>,
    call: &Call,
    name: &str,
    address: &str,
    limit_ms: u64,
) -> Result<Answer, Failed> {
    let _busy = Busy::new(app, &call.service, name);
    let begun_ms = app.now_ms();
    let limit = Duration::from_millis(limit_ms);
    let exchanged = actix_rt::time::timeout(limit, exchange(app, call, address)).await;
    let result =
        exchanged.unwrap_or_else(|_| Err(Failed::Unknown(format!("no answer in {limit_ms} ms"))));
    let now_ms = app.now_ms();
    let mut upstreams = app.upstreams.borrow_mut();
    if let Some(instance) = upstreams.service_mut(&call.service, name) {
        match &result {
            // Services differ in what a call takes; only failures tell their health.
            Ok(_) => instance.health.answered(now_ms, 1.0, 1.0),
            Err(_) => instance.health.failed(now_ms),
        }
    }
    if let Err(Failed::Unknown(detail)) = &result {
        log::info!(
            step = "service", peer = name, took_ms = now_ms - begun_ms, key = call.key.as_str();
            "{detail}"
        );
    }
    result
}

async fn exchange(app: &App, call: &Call, address: &str) -> Result<Answer, Failed> {
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
        awc::error::SendRequestError::Connect(_) => Failed::NeverSent,
        error => Failed::Unknown(error.to_string()),
    })?;
    let content_type = response.headers().get("content-type");
    let content_type = content_type
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let content_type = content_type.to_owned();
    let body = response.body().limit(ANSWER_BYTES).await;
    let body = body.map_err(|error| Failed::Unknown(error.to_string()))?;
    Ok(Answer {
        status: response.status().as_u16(),
        content_type,
        body: body.to_vec(),
    })
}

struct Busy {
    app: Rc<App>,
    service: String,
    name: String,
}

impl Busy {
    fn new(app: &Rc<App>, service: &str, name: &str) -> Self {
        let busy = Self {
            app: app.clone(),
            service: service.to_owned(),
            name: name.to_owned(),
        };
        busy.change(1);
        busy
    }

    fn change(&self, by: i32) {
        let mut upstreams = self.app.upstreams.borrow_mut();
        if let Some(instance) = upstreams.service_mut(&self.service, &self.name) {
            instance.in_flight = instance.in_flight.saturating_add_signed(by);
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.change(-1);
    }
}

/// A call that may not be repeated, wherever it arrived.
async fn once_only(app: &Rc<App>, key: &Key, call: Call) -> Result<Answer, Refusal> {
    let status = if app.home.borrow().is_mine(key) {
        at_home(app, call).await
    } else {
        elsewhere(app, key, &call).await
    };
    match (status.state, status.answer) {
        (CallState::Done, Some(answer)) => Ok(answer),
        (state, _) => Err(refusal(app, state)),
    }
}

fn refusal(app: &App, state: CallState) -> Refusal {
    let (code, text) = match state {
        CallState::Unseen => {
            let text = "closed without having run; use a new key";
            return Refusal::new(Code::Unavailable, text).retry_after(0);
        }
        CallState::Conflict => {
            return Refusal::new(Code::KeyReused, "Idempotency-Key: used with another body");
        }
        CallState::Expired => (
            Code::KeyExpired,
            "Idempotency-Key: older than records are kept",
        ),
        CallState::Running => (Code::Upstream, "still running; ask again with the same key"),
        CallState::Unknown | CallState::Foreign | CallState::Done => (
            Code::Upstream,
            "it may have run; ask again with the same key",
        ),
    };
    app.metrics.unknown.with_label_values(&["service"]).inc();
    let refusal = Refusal::unknown(code, text);
    match state {
        CallState::Expired => refusal,
        _ => refusal.retry_after(500),
    }
}

/// Runs a call at its home, or waits for the run that is under way.
pub(crate) async fn at_home(app: &Rc<App>, call: Call) -> CallStatus {
    let Ok(key) = call.key.parse::<Key>() else {
        return CallStatus::bare(CallState::Foreign);
    };
    let now_ms = app.now_ms();
    let deadline_ms = now_ms + call.deadline_ms;
    let mut ended = app.call_ended.subscribe();
    let admission = app.home.borrow_mut().admit(now_ms, &key, call.body_digest);
    match admission {
        Admission::Known(status) => return status,
        Admission::Attach => {}
        // A task of its own: a caller that leaves must not leave the call half way.
        Admission::AskWitness => {
            actix_rt::spawn(run(app.clone(), key.clone(), call));
        }
    }
    loop {
        let status = app.home.borrow().status(&key);
        let left_ms = deadline_ms.saturating_sub(app.now_ms());
        if status.state != CallState::Running || left_ms == 0 {
            return status;
        }
        let limit = Duration::from_millis(left_ms);
        let _ = actix_rt::time::timeout(limit, ended.changed()).await;
    }
}

async fn run(app: Rc<App>, key: Key, call: Call) {
    let verdict = ask_witness(&app, &key, &call).await;
    if app.home.borrow_mut().granted(&key, verdict) {
        dispatch(&app, &key, &call).await;
    }
    app.call_ended.send_modify(|count| *count += 1);
}

async fn ask_witness(app: &App, key: &Key, call: &Call) -> Option<ClaimVerdict> {
    let witness = &key.witness;
    let address = {
        let members = app.members.borrow();
        let address = members.address(&witness.instance, witness.incarnation);
        address?.to_owned()
    };
    let limit_ms = PEER_MS.min(call.deadline_ms / 2).max(1);
    let answer = app
        .peers
        .claim(&address, key, call.body_digest, limit_ms)
        .await;
    if let Err(error) = &answer {
        log::info!(step = error.step, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
        // The next key must not name a witness that does not answer.
        app.members.borrow_mut().failed(&witness.instance);
    }
    answer.ok()
}

/// Sends a granted call to one instance of the service, and to another only while nothing was sent.
async fn dispatch(app: &Rc<App>, key: &Key, call: &Call) {
    let mut tried = Vec::new();
    loop {
        let (chosen, _) = pick(app, &call.service, &tried);
        let Some((name, address)) = chosen else {
            app.home.borrow_mut().not_sent(key);
            return;
        };
        match send(app, call, &name, &address, call.deadline_ms).await {
            Ok(answer) => {
                app.home.borrow_mut().finished(key, answer.clone());
                actix_rt::spawn(tell_witness(app.clone(), key.clone(), answer));
                return;
            }
            Err(Failed::NeverSent) => tried.push(name),
            Err(Failed::Unknown(_)) => {
                app.home.borrow_mut().lost(key);
                return;
            }
        }
    }
}

async fn tell_witness(app: Rc<App>, key: Key, answer: Answer) {
    let witness = &key.witness;
    let address = {
        let members = app.members.borrow();
        let address = members.address(&witness.instance, witness.incarnation);
        address.map(str::to_owned)
    };
    let Some(address) = address else {
        return;
    };
    if let Err(error) = app.peers.finish(&address, &key, &answer, PEER_MS).await {
        log::debug!(step = error.step, peer = error.peer.as_str(); "{error}");
    }
}

/// A call whose home is another instance: handed to it, or settled by its witness.
async fn elsewhere(app: &Rc<App>, key: &Key, call: &Call) -> CallStatus {
    let home = {
        let members = app.members.borrow();
        let address = members.address(&key.home.instance, key.home.incarnation);
        address.map(str::to_owned)
    };
    if let Some(home) = home {
        match app.peers.forward(&home, call, call.deadline_ms).await {
            Ok(status) if status.state != CallState::Foreign => return status,
            Ok(_) => {}
            Err(error) => {
                log::info!(step = error.step, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
                // The next key must not name it as its witness.
                app.members.borrow_mut().failed(&key.home.instance);
            }
        }
    }
    settle(app, key, call).await
}

async fn settle(app: &App, key: &Key, call: &Call) -> CallStatus {
    let witness = &key.witness;
    if witness.instance == app.identity.instance {
        let now_ms = app.now_ms();
        return app
            .witness
            .borrow_mut()
            .fence(now_ms, key, call.body_digest);
    }
    let address = {
        let members = app.members.borrow();
        let address = members.address(&witness.instance, witness.incarnation);
        address.map(str::to_owned)
    };
    let Some(address) = address else {
        return CallStatus::bare(CallState::Unknown);
    };
    let asked = app
        .peers
        .fence(&address, key, call.body_digest, PEER_MS)
        .await;
    asked.unwrap_or_else(|error| {
        log::info!(step = error.step, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
        app.members.borrow_mut().failed(&witness.instance);
        CallStatus::bare(CallState::Unknown)
    })
}
