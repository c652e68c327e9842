//! At-most-once calls: routing to the home, the claim at the witness, and the single dispatch.

use std::rc::Rc;
use std::time::Duration;

use once::{Admission, IdempotencyKey};
use wire::{Answer, Call, CallState, CallStatus, ClaimVerdict};

use super::send::{CallError, pick_instance, send};
use crate::app::App;
use crate::refusal::{Code, Refusal};

/// Timeout of a request about a key to a witness.
const PEER_TIMEOUT_MS: u64 = 800;

/// Runs an at-most-once call, here if this instance is its home, otherwise at its home.
pub(super) async fn call_at_most_once(
    app: &Rc<App>,
    key: &IdempotencyKey,
    call: Call,
) -> Result<Answer, Refusal> {
    let status = if app.home.borrow().is_home(key) {
        run_at_home(app, call).await
    } else {
        forward_to_home(app, key, &call).await
    };
    match (status.state, status.answer) {
        (CallState::Done, Some(answer)) => Ok(answer),
        (state, _) => Err(refusal_for(app, state)),
    }
}

fn refusal_for(app: &App, state: CallState) -> Refusal {
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
    app.metrics
        .unknown_outcomes
        .with_label_values(&["service"])
        .inc();
    let refusal = Refusal::unknown(code, text);
    match state {
        CallState::Expired => refusal,
        _ => refusal.retry_after(500),
    }
}

/// Runs a call as its home, or waits for its end if it is in progress.
pub(crate) async fn run_at_home(app: &Rc<App>, call: Call) -> CallStatus {
    let Ok(key) = call.key.parse::<IdempotencyKey>() else {
        return CallStatus::without_answer(CallState::Foreign);
    };
    let now_ms = app.now_ms();
    let deadline_ms = now_ms + call.deadline_ms;
    let mut call_ended = app.call_ended.subscribe();
    let admission = app.home.borrow_mut().admit(now_ms, &key, call.body_digest);
    match admission {
        Admission::Known(status) => return status,
        Admission::Attach => {}
        // Runs in its own task, so that the call is completed even if the caller disconnects.
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
        let _ = actix_rt::time::timeout(limit, call_ended.changed()).await;
    }
}

async fn run(app: Rc<App>, key: IdempotencyKey, call: Call) {
    let verdict = claim_at_witness(&app, &key, &call).await;
    if app.home.borrow_mut().record_verdict(&key, verdict) {
        dispatch(&app, &key, &call).await;
    }
    app.call_ended.send_modify(|count| *count += 1);
}

async fn claim_at_witness(app: &App, key: &IdempotencyKey, call: &Call) -> Option<ClaimVerdict> {
    let witness = &key.witness;
    let address = {
        let peer_table = app.peer_table.borrow();
        let address = peer_table.address(&witness.instance, witness.incarnation);
        address?.to_owned()
    };
    let limit_ms = PEER_TIMEOUT_MS.min(call.deadline_ms / 2).max(1);
    let answer = app
        .peer_client
        .claim(&address, key, call.body_digest, limit_ms)
        .await;
    if let Err(error) = &answer {
        log::info!(step = error.operation, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
        // A witness that does not answer must not be used for new keys.
        app.peer_table
            .borrow_mut()
            .record_failure(&witness.instance);
    }
    answer.ok()
}

/// Sends a granted call to an instance of the service. Another instance is tried only if nothing
/// was sent.
async fn dispatch(app: &Rc<App>, key: &IdempotencyKey, call: &Call) {
    let mut tried = Vec::new();
    loop {
        let (chosen, _) = pick_instance(app, &call.service, &tried);
        let Some((name, address)) = chosen else {
            app.home.borrow_mut().record_not_sent(key);
            return;
        };
        match send(app, call, &name, &address, call.deadline_ms).await {
            Ok(answer) => {
                app.home.borrow_mut().record_answer(key, answer.clone());
                actix_rt::spawn(store_at_witness(app.clone(), key.clone(), answer));
                return;
            }
            Err(CallError::NeverSent) => tried.push(name),
            Err(CallError::Unknown(_)) => {
                app.home.borrow_mut().record_unknown(key);
                return;
            }
        }
    }
}

async fn store_at_witness(app: Rc<App>, key: IdempotencyKey, answer: Answer) {
    let witness = &key.witness;
    let address = {
        let peer_table = app.peer_table.borrow();
        let address = peer_table.address(&witness.instance, witness.incarnation);
        address.map(str::to_owned)
    };
    let Some(address) = address else {
        return;
    };
    if let Err(error) = app
        .peer_client
        .finish(&address, &key, &answer, PEER_TIMEOUT_MS)
        .await
    {
        log::debug!(step = error.operation, peer = error.peer.as_str(); "{error}");
    }
}

/// Forwards a call to its home. If the home cannot be reached, the witness decides on its status.
async fn forward_to_home(app: &Rc<App>, key: &IdempotencyKey, call: &Call) -> CallStatus {
    let home = {
        let peer_table = app.peer_table.borrow();
        let address = peer_table.address(&key.home.instance, key.home.incarnation);
        address.map(str::to_owned)
    };
    if let Some(home) = home {
        match app.peer_client.forward(&home, call, call.deadline_ms).await {
            Ok(status) if status.state != CallState::Foreign => return status,
            Ok(_) => {}
            Err(error) => {
                log::info!(step = error.operation, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
                // An instance that does not answer must not be used as the witness of new keys.
                app.peer_table
                    .borrow_mut()
                    .record_failure(&key.home.instance);
            }
        }
    }
    fence_at_witness(app, key, call).await
}

async fn fence_at_witness(app: &App, key: &IdempotencyKey, call: &Call) -> CallStatus {
    let witness = &key.witness;
    if witness.instance == app.identity.instance {
        let now_ms = app.now_ms();
        return app
            .witness
            .borrow_mut()
            .fence(now_ms, key, call.body_digest);
    }
    let address = {
        let peer_table = app.peer_table.borrow();
        let address = peer_table.address(&witness.instance, witness.incarnation);
        address.map(str::to_owned)
    };
    let Some(address) = address else {
        return CallStatus::without_answer(CallState::Unknown);
    };
    let result = app
        .peer_client
        .fence(&address, key, call.body_digest, PEER_TIMEOUT_MS)
        .await;
    result.unwrap_or_else(|error| {
        log::info!(step = error.operation, peer = error.peer.as_str(), key = call.key.as_str(); "{error}");
        app.peer_table.borrow_mut().record_failure(&witness.instance);
        CallStatus::without_answer(CallState::Unknown)
    })
}
