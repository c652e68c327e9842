//! Heartbeats to other instances, and the handler of their remote calls.

use std::rc::Rc;

use feed::RawRecord;
use once::{BodyDigest, IdempotencyKey};
use plan::Outstanding;
use wire::{Answer, Call, CallStatus, ClaimVerdict, Condition, EngineLoad, Heartbeat};

use crate::app::App;

/// Every how many heartbeats the load is included. With heartbeats every 250 ms that is once a
/// second, which takes a third of the bytes without reducing goodput.
const LOAD_INTERVAL_BEATS: u64 = 4;

/// Number of heartbeat intervals between two ticks above which the process was paused.
const PAUSE_THRESHOLD_BEATS: u64 = 4;

/// Sends heartbeats to some instances at each tick, and expires records of calls.
pub(crate) async fn send(app: Rc<App>) {
    let period_ms = app.settings.membership.beat_ms;
    let mut ticks = app.timers.every(period_ms);
    let mut last_ms = app.now_ms();
    while let Some(tick) = ticks.next().await {
        if tick.now_ms > last_ms + PAUSE_THRESHOLD_BEATS * period_ms {
            log::warn!(step = "beat", paused_ms = tick.now_ms - last_ms; "this process was paused");
            app.peer_table.borrow_mut().record_pause(tick.now_ms);
        }
        last_ms = tick.now_ms;
        apply_forecast(&app, tick.now_ms);
        app.home.borrow_mut().expire(tick.now_ms);
        app.witness.borrow_mut().expire(tick.now_ms);
        let targets = {
            let mut rng = app.rng.borrow_mut();
            app.peer_table
                .borrow()
                .heartbeat_targets(&app.settings.zone, &mut *rng)
        };
        for target in targets {
            actix_rt::spawn(exchange(app.clone(), target));
        }
    }
}

/// Applies the request rates forecast by all instances to the predictions for each model.
fn apply_forecast(app: &App, now_ms: u64) {
    let Some(bundle) = app.bundle() else {
        return;
    };
    let (mut prompt, mut output) = (0.0, 0.0);
    for heartbeat in app.peer_table.borrow().live(now_ms) {
        prompt += heartbeat.prompt_rate;
        output += heartbeat.output_rate;
    }
    let forecast = app.forecast.borrow().with_peer_rates(prompt, output);
    let mut fleet = app.fleet.borrow_mut();
    for model in &bundle.bundle().models {
        fleet.apply_forecast(&model.name, &forecast);
    }
}

/// Sends a heartbeat to all other instances, as when leaving.
pub(crate) async fn send_to_all(app: &Rc<App>) {
    let targets: Vec<String> = {
        let peer_table = app.peer_table.borrow();
        let addresses = peer_table.all().map(|peer| peer.peer_address.clone());
        addresses.filter(|address| !address.is_empty()).collect()
    };
    let sends = targets
        .into_iter()
        .map(|target| exchange(app.clone(), target));
    futures_util::future::join_all(sends).await;
}

async fn exchange(app: Rc<App>, peer: String) {
    let own = own_heartbeat(&app);
    let limit_ms = app.settings.membership.suspect_ms;
    match app.peer_client.exchange(&peer, &own, limit_ms).await {
        Ok(heartbeat) => receive_heartbeat(&app, heartbeat),
        Err(error) => log::debug!(step = error.operation, peer = error.peer.as_str(); "{error}"),
    }
}

fn own_heartbeat(app: &App) -> Heartbeat {
    let now_ms = app.now_ms();
    let has_loads = (now_ms / app.settings.membership.beat_ms).is_multiple_of(LOAD_INTERVAL_BEATS);
    let sent = has_loads.then(|| loads(app, now_ms));
    let rate = app.forecast.borrow();
    let (prompt_rate, output_rate) = (rate.prompt_rate(), rate.output_rate());
    Heartbeat {
        instance: app.identity.instance.clone(),
        incarnation: app.identity.incarnation,
        zone: app.settings.zone.clone(),
        condition: app.condition.get(),
        applied_offset: app.log_reader.borrow().state().next_offset(),
        epoch: app.epochs.epoch_at(now_ms),
        caller_address: app.caller_address.clone(),
        sent_load: sent,
        bundle_version: app.bundle().map_or(0, |bundle| bundle.bundle().version),
        prompt_rate,
        output_rate,
    }
}

fn loads(app: &App, now_ms: u64) -> Vec<EngineLoad> {
    let fleet = app.fleet.borrow();
    let busy = fleet
        .iter()
        .filter(|engine| engine.own_load().requests() > 0.0);
    busy.map(|engine| load(now_ms, engine)).collect()
}

fn load(now_ms: u64, engine: &plan::Engine) -> EngineLoad {
    let own = engine.own_load();
    EngineLoad {
        engine: engine.name.clone(),
        at_ms: now_ms,
        prompt_tokens: own.prompt.map(|tokens| tokens as u64).to_vec(),
        waiting: own.waiting.map(|count| count as u64).to_vec(),
        running: own.running as u64,
        output_tokens: own.output as u64,
    }
}

fn receive_heartbeat(app: &App, heartbeat: Heartbeat) {
    let now_ms = app.now_ms();
    if let Some(loads) = &heartbeat.sent_load {
        let mut fleet = app.fleet.borrow_mut();
        // An engine that the heartbeat does not list has no load from that peer any more.
        for engine in fleet.iter_mut() {
            engine.record_peer_load(now_ms, &heartbeat.instance, Outstanding::default());
        }
        for load in loads {
            if let Some(index) = fleet.index_of(&load.engine) {
                let engine = fleet.get_mut(index);
                engine.record_peer_load(now_ms, &heartbeat.instance, outstanding(load));
            }
        }
    }
    app.peer_table
        .borrow_mut()
        .record_heartbeat(now_ms, heartbeat);
}

fn outstanding(load: &EngineLoad) -> Outstanding {
    let mut outstanding = Outstanding {
        running: load.running as f64,
        output: load.output_tokens as f64,
        ..Outstanding::default()
    };
    for (count, reported) in outstanding.waiting.iter_mut().zip(&load.waiting) {
        *count = *reported as f64;
    }
    for (tokens, reported) in outstanding.prompt.iter_mut().zip(&load.prompt_tokens) {
        *tokens = *reported as f64;
    }
    outstanding
}

/// Handles the remote calls of other instances.
pub(crate) struct PeerHandler(pub(crate) Rc<App>);

impl peer::Handler for PeerHandler {
    fn exchange(&self, heartbeat: Heartbeat) -> Heartbeat {
        receive_heartbeat(&self.0, heartbeat);
        own_heartbeat(&self.0)
    }

    fn records(&self, from: u64) -> (Vec<RawRecord>, u64, Option<Vec<u8>>) {
        let log_reader = self.0.log_reader.borrow();
        let next = log_reader.state().next_offset();
        match log_reader.records_from(from) {
            Some(entries) => (entries, next, None),
            None => (
                Vec::new(),
                next,
                Some(log_reader.state().snapshot().encode()),
            ),
        }
    }

    fn claim(&self, key: &IdempotencyKey, digest: BodyDigest) -> ClaimVerdict {
        if self.0.condition.get() == Condition::Starting {
            return ClaimVerdict::Foreign;
        }
        let now_ms = self.0.now_ms();
        self.0.witness.borrow_mut().claim(now_ms, key, digest)
    }

    fn fence(&self, key: &IdempotencyKey, digest: BodyDigest) -> CallStatus {
        let now_ms = self.0.now_ms();
        self.0.witness.borrow_mut().fence(now_ms, key, digest)
    }

    fn finish(&self, key: &IdempotencyKey, answer: Answer) {
        self.0.witness.borrow_mut().finish(key, answer);
    }

    async fn forward(&self, call: Call) -> CallStatus {
        crate::call::run_at_home(&self.0, call).await
    }
}
