//! Upstreams: their addresses, load and reports.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use conf::Role;
use lease::EngineReport;
use plan::{Engine, EngineProfile, Health, LoadReport, Presence, RANKS};
use serde::Deserialize;

use crate::app::App;
use crate::instance_list::{ListEntry, ListEntryKind, ListedState};

/// Interval between reads of an engine's report.
const REPORT_INTERVAL_MS: u64 = 250;

/// Timeout of a read of a report.
const REPORT_TIMEOUT_MS: u64 = 1_000;

/// One-way network delay to an upstream in another availability zone, in ms.
const CROSS_ZONE_DELAY_MS: f64 = 1.2;

/// Number of consecutive failed reads after which an engine is considered gone.
const MAX_MISSED_REPORTS: u32 = 3;

/// Data of an engine that the router does not need.
#[derive(Debug, Clone, Default)]
pub(crate) struct EngineEntry {
    pub(crate) address: String,
    pub(crate) group: String,
    pub(crate) leaving: bool,
    pub(crate) report: Option<EngineReport>,
    missed: u32,
}

/// An instance of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceEntry {
    pub(crate) name: String,
    pub(crate) address: String,
    pub(crate) leaving: bool,
    pub(crate) same_zone: bool,
    pub(crate) in_flight: u32,
    pub(crate) health: Health,
}

/// All upstreams, by name.
#[derive(Debug, Clone, Default)]
pub(crate) struct Upstreams {
    pub(crate) engines: BTreeMap<String, EngineEntry>,
    pub(crate) services: BTreeMap<String, Vec<ServiceEntry>>,
}

impl Upstreams {
    /// Groups of engines; each has a lease.
    pub(crate) fn groups(&self) -> BTreeSet<String> {
        self.engines
            .values()
            .map(|engine| engine.group.clone())
            .collect()
    }

    /// An instance of a service, by name.
    pub(crate) fn service_mut(&mut self, service: &str, name: &str) -> Option<&mut ServiceEntry> {
        let instances = self.services.get_mut(service)?;
        instances.iter_mut().find(|instance| instance.name == name)
    }
}

#[derive(Debug, Deserialize)]
struct ReportBody {
    role: Role,
    loaded: Vec<String>,
    changing: bool,
    order: u64,
    queued: Vec<f64>,
    running: f64,
    age_ms: u64,
}

/// Applies the platform's list of upstreams.
pub(crate) fn apply_list(app: &App, list: impl Iterator<Item = ListEntry>) {
    let mut upstreams = app.upstreams.borrow_mut();
    let mut listed_engines = BTreeSet::new();
    let previous = std::mem::take(&mut upstreams.services);
    for listed in list {
        let leaving = listed.state == ListedState::Leaving;
        let same_zone = listed.zone == app.settings.zone;
        match listed.kind {
            ListEntryKind::Engine => {
                listed_engines.insert(listed.name.clone());
                add_engine(app, &mut upstreams, listed, same_zone, leaving);
            }
            ListEntryKind::Service => {
                let known = previous.get(&listed.serves).and_then(|instances| {
                    instances
                        .iter()
                        .find(|instance| instance.name == listed.name)
                });
                let entry = ServiceEntry {
                    name: listed.name,
                    address: listed.address,
                    leaving,
                    same_zone,
                    in_flight: known.map_or(0, |known| known.in_flight),
                    health: known.map_or_else(Health::default, |known| known.health),
                };
                upstreams
                    .services
                    .entry(listed.serves)
                    .or_default()
                    .push(entry);
            }
            ListEntryKind::Entry => {}
        }
    }
    let mut fleet = app.fleet.borrow_mut();
    for engine in fleet
        .iter_mut()
        .filter(|engine| !listed_engines.contains(&engine.name))
    {
        engine.presence = Presence::Gone;
        upstreams.engines.remove(&engine.name);
    }
}

fn add_engine(
    app: &App,
    upstreams: &mut Upstreams,
    listed: ListEntry,
    same_zone: bool,
    leaving: bool,
) {
    // One group per model and availability zone: small enough for one lease holder, and a
    // partitioned zone affects only its own groups.
    let group = format!("{}/{}", listed.serves, listed.zone);
    let entry = upstreams.engines.entry(listed.name.clone()).or_default();
    entry.address = listed.address;
    entry.group.clone_from(&group);
    entry.leaving = leaving;
    let mut engine = Engine::new(
        &listed.name,
        &listed.serves,
        &group,
        EngineProfile::default(),
    );
    engine.one_way_delay_ms = if same_zone { 0.0 } else { CROSS_ZONE_DELAY_MS };
    engine.presence = Presence::Gone;
    app.fleet.borrow_mut().add(engine);
}

/// Reads the reports of all engines at a fixed interval.
pub(crate) async fn poll_reports(app: Rc<App>) {
    let mut ticks = app.timers.every(REPORT_INTERVAL_MS);
    while ticks.next().await.is_some() {
        let engines: Vec<(String, String)> = app
            .upstreams
            .borrow()
            .engines
            .iter()
            .map(|(name, engine)| (name.clone(), engine.address.clone()))
            .collect();
        let reads = engines
            .into_iter()
            .map(|(name, address)| read_report(&app, name, address));
        futures_util::future::join_all(reads).await;
    }
}

async fn read_report(app: &App, name: String, address: String) {
    let url = format!("http://{address}/report");
    let request = app
        .client
        .get(url)
        .timeout(Duration::from_millis(REPORT_TIMEOUT_MS));
    let report = match request.send().await {
        Ok(mut response) => response.json::<ReportBody>().await.ok(),
        Err(_) => None,
    };
    match report {
        Some(report) => apply_report(app, &name, report),
        None => record_missed_report(app, &name),
    }
}

fn apply_report(app: &App, name: &str, body: ReportBody) {
    let drained = app.log_reader.borrow().state().is_drained(name);
    let mut upstreams = app.upstreams.borrow_mut();
    let Some(entry) = upstreams.engines.get_mut(name) else {
        return;
    };
    entry.missed = 0;
    // An engine keeps serving while it loads a model; only a role change interrupts it.
    let role_order = app
        .log_reader
        .borrow()
        .state()
        .last_order(name)
        .is_some_and(|order| !order.settled && order.placed.kind == wire::OrderKind::Role);
    let presence = if drained || entry.leaving {
        Presence::Leaving
    } else if role_order {
        Presence::Changing
    } else {
        Presence::Live
    };
    let mut fleet = app.fleet.borrow_mut();
    if let Some(index) = fleet.index_of(name) {
        let engine = fleet.get_mut(index);
        engine.presence = presence;
        engine.role = body.role;
        let mut queued = [0.0; RANKS];
        for (queued, reported) in queued.iter_mut().zip(&body.queued) {
            *queued = *reported;
        }
        engine.record_report(LoadReport {
            at_ms: app.now_ms().saturating_sub(body.age_ms),
            queued,
            running: body.running,
        });
    }
    entry.report = Some(EngineReport {
        role: body.role.to_string(),
        loaded: body.loaded,
        changing: body.changing,
        fencing_token: body.order,
    });
}

fn record_missed_report(app: &App, name: &str) {
    let mut upstreams = app.upstreams.borrow_mut();
    let Some(entry) = upstreams.engines.get_mut(name) else {
        return;
    };
    entry.missed += 1;
    if entry.missed < MAX_MISSED_REPORTS {
        return;
    }
    entry.report = None;
    let mut fleet = app.fleet.borrow_mut();
    if let Some(index) = fleet.index_of(name) {
        fleet.get_mut(index).presence = Presence::Gone;
    }
}

/// Applies new drains at once, without waiting for the next reports.
pub(crate) fn apply_drains(app: &App) {
    let log_reader = app.log_reader.borrow();
    let mut fleet = app.fleet.borrow_mut();
    for engine in fleet.iter_mut() {
        if log_reader.state().is_drained(&engine.name) && engine.presence != Presence::Gone {
            engine.presence = Presence::Leaving;
        }
    }
}

/// Returns the `model@version` to use for a new request.
///
/// During a rollout the previous version is served until enough engines have loaded the new one. A
/// request keeps the version that is returned here.
pub(crate) fn version_to_serve(app: &App, model: &conf::Model) -> String {
    let wanted = format!("{}@{}", model.name, model.version);
    let mut serving = app.served_versions.borrow_mut();
    let current = serving.get(&model.name);
    if current.is_some_and(|current| *current == wanted) {
        return wanted;
    }
    let upstreams = app.upstreams.borrow();
    let fleet = app.fleet.borrow();
    let indices = fleet.indices_of_model(&model.name).iter();
    let live = indices.filter(|&&index| fleet.get(index).presence == Presence::Live);
    let loaded: Vec<&[String]> = live
        .filter_map(|&index| {
            upstreams
                .engines
                .get(&fleet.get(index).name)?
                .report
                .as_ref()
        })
        .map(|report| report.loaded.as_slice())
        .collect();
    let count_loaded = |version: &String| {
        loaded
            .iter()
            .filter(|loaded| loaded.contains(version))
            .count()
    };
    let with_current = current.map_or(0, count_loaded);
    if !plan::should_switch_version(loaded.len(), count_loaded(&wanted), with_current) {
        return current.cloned().unwrap_or(wanted);
    }
    serving.insert(model.name.clone(), wanted.clone());
    wanted
}
