//! A model engine: streams with resume and cancel, orders, and reports that lag.

mod http;
mod orders;
mod streams;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use conf::Role;
use plan::EngineProfile;
use serde::{Deserialize, Serialize};
use tick::Clock;
use tokio::sync::Notify;
use web::{Server, ServerOptions};

use model::Batch;
use orders::Orders;
use streams::Streams;

/// Time between two snapshots that reports are taken from.
const SNAPSHOT_MS: u64 = 50;

/// What makes a prompt poisonous to an engine whose switch says so.
pub const POISON_MARKER: &str = "poison";

/// Switches of an engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor by which iterations take longer.
    pub slow: f64,
    /// Produces nothing.
    pub stall: bool,
    /// Cuts a stream's connection once, after this many tokens; 0 never does.
    pub cut_after: u32,
    /// Puts another request's id on answers.
    pub cross_ids: bool,
    /// Refuses new work with 503.
    pub refuse: bool,
    /// What a prompt that has [`POISON_MARKER`] in it does to it.
    #[serde(rename = "at_poison")]
    pub poison_behavior: PoisonBehavior,
}

/// What becomes of an engine that begins with a poisonous prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoisonBehavior {
    /// It answers.
    #[default]
    Survives,
    /// It is killed.
    #[serde(rename = "ends")]
    Crashes,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            stall: false,
            cut_after: 0,
            cross_ids: false,
            refuse: false,
            poison_behavior: PoisonBehavior::Survives,
        }
    }
}

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the instance.
    pub name: String,
    /// Its cost model.
    pub profile: EngineProfile,
    /// Role it begins with.
    pub role: Role,
    /// `model@version` of what it has loaded.
    pub loaded: Vec<String>,
    /// Whether it refuses orders with an old fencing token.
    pub checks_orders: bool,
    /// Age of what it reports.
    pub report_lag_ms: u64,
    /// IP address and port of the weight store; empty if loading needs none.
    pub weight_store: String,
}

impl EngineOptions {
    /// An engine that has one model loaded.
    pub fn new(name: &str, loaded: &str) -> Self {
        Self {
            name: name.to_owned(),
            profile: EngineProfile::default(),
            role: Role::Mixed,
            loaded: vec![loaded.to_owned()],
            checks_orders: true,
            report_lag_ms: 250,
            weight_store: String::new(),
        }
    }
}

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Role it plays.
    pub role: String,
    /// `model@version` of all that it has loaded.
    pub loaded: Vec<String>,
    /// Whether it is carrying out an order.
    pub changing: bool,
    /// Highest fencing token it has taken an order with.
    pub order: u64,
    /// Prompt tokens waiting, by rank.
    pub queued: Vec<f64>,
    /// Sequences that produce output.
    pub running: usize,
    /// Age of all this.
    pub age_ms: u64,
}

struct Inner {
    options: EngineOptions,
    faults: EngineFaults,
    batch: Batch,
    streams: Streams,
    orders: Orders,
    reports: VecDeque<(u64, EngineStatus)>,
}

/// A running engine.
#[derive(Clone)]
pub struct EngineStandin {
    clock: Clock,
    inner: Rc<RefCell<Inner>>,
    work: Rc<Notify>,
    server: Rc<RefCell<Option<Server>>>,
    is_killed: Rc<Cell<bool>>,
}

impl EngineStandin {
    /// Starts an engine.
    pub async fn start(address: &str, options: EngineOptions) -> io::Result<Self> {
        let batch = Batch::new(options.profile, options.role);
        let engine = Self {
            clock: Clock::default(),
            inner: Rc::new(RefCell::new(Inner {
                orders: Orders::new(options.checks_orders),
                options,
                faults: EngineFaults::default(),
                batch,
                streams: Streams::default(),
                reports: VecDeque::new(),
            })),
            work: Rc::default(),
            server: Rc::default(),
            is_killed: Rc::default(),
        };
        let listener = web::bind(address).await?;
        let handler = engine.clone();
        let server = web::serve(listener, ServerOptions::default(), move |request| {
            let engine = handler.clone();
            async move { engine.answer(request).await }
        })
        .await?;
        engine.server.replace(Some(server));
        actix_rt::spawn(engine.clone().iterate());
        actix_rt::spawn(engine.clone().take_snapshots());
        Ok(engine)
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Sets the switches.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.borrow_mut().faults = faults;
        self.work.notify_one();
    }

    /// Orders that had an effect, in the order in which they arrived.
    pub fn accepted_orders(&self) -> Vec<(u64, String)> {
        self.inner.borrow().orders.taken().to_vec()
    }

    /// Requests that are held.
    pub fn unfinished_requests(&self) -> usize {
        self.inner.borrow().streams.unfinished()
    }

    /// Loses all that it holds, as a crash does; it goes on listening, empty.
    pub fn crash(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.batch.clear();
        inner.streams.fail_all();
    }

    /// Whether it has not been killed.
    pub fn is_listening(&self) -> bool {
        !self.is_killed.get()
    }

    /// Cuts all connections and stops listening.
    pub fn kill(&self) {
        self.is_killed.set(true);
        self.crash();
        if let Some(server) = self.server.borrow().as_ref() {
            server.kill();
        }
    }

    async fn iterate(self) {
        loop {
            let stopped = {
                let inner = self.inner.borrow();
                inner.faults.stall || inner.batch.is_idle()
            };
            if stopped {
                let wait = Duration::from_millis(SNAPSHOT_MS);
                let _ = actix_rt::time::timeout(wait, self.work.notified()).await;
                continue;
            }
            let (iteration, slow) = {
                let mut inner = self.inner.borrow_mut();
                (inner.batch.iterate(), inner.faults.slow)
            };
            actix_rt::time::sleep(Duration::from_secs_f64(
                iteration.duration_ms * slow / 1_000.0,
            ))
            .await;
            let now_ms = self.clock.now_ms();
            self.inner.borrow_mut().streams.advance(now_ms, &iteration);
        }
    }

    async fn take_snapshots(self) {
        loop {
            actix_rt::time::sleep(Duration::from_millis(SNAPSHOT_MS)).await;
            let now_ms = self.clock.now_ms();
            let mut inner = self.inner.borrow_mut();
            for id in inner.streams.abandoned(now_ms) {
                inner.batch.cancel(id);
            }
            let status = inner.status();
            inner.reports.push_back((now_ms, status));
            let lag_ms = inner.options.report_lag_ms;
            while inner
                .reports
                .get(1)
                .is_some_and(|next| next.0 + lag_ms <= now_ms)
            {
                inner.reports.pop_front();
            }
        }
    }
}

impl Inner {
    fn status(&self) -> EngineStatus {
        EngineStatus {
            role: self.batch.role().to_string(),
            loaded: self.options.loaded.clone(),
            changing: self.orders.is_changing(),
            order: self.orders.highest(),
            queued: self.batch.queued_tokens().to_vec(),
            running: self.batch.running_sequences(),
            age_ms: 0,
        }
    }

    /// Load as it was `report_lag_ms` ago; what the engine is set up for is always current.
    fn report(&self, now_ms: u64) -> EngineStatus {
        let current = self.status();
        let Some((at_ms, old)) = self.reports.front() else {
            return current;
        };
        EngineStatus {
            queued: old.queued.clone(),
            running: old.running,
            age_ms: now_ms - at_ms,
            ..current
        }
    }
}
