//! Engine stand-in: resumable and cancellable streams, orders, and delayed load reports.

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

/// Interval between the load snapshots that reports are answered from, in ms.
const SNAPSHOT_MS: u64 = 50;

/// Text that triggers [`EngineFaults::poison_behavior`] when a prompt contains it.
pub const POISON_MARKER: &str = "poison";

/// Injected faults of an engine.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Factor on the duration of each iteration; 1 is normal speed.
    pub slow: f64,
    /// Stops all iterations, so that no token is produced.
    pub stall: bool,
    /// Closes the connection of each stream once, after this many tokens; 0 disables this.
    pub cut_after: u32,
    /// Sends a wrong request id with each answer.
    pub cross_ids: bool,
    /// Refuses new completions with status 503.
    pub refuse: bool,
    /// Reaction to a prompt that contains [`POISON_MARKER`].
    #[serde(rename = "at_poison")]
    pub poison_behavior: PoisonBehavior,
    /// Time for which the listener outlives the streams when the engine is killed, in ms.
    pub ending_ms: u64,
    /// What becomes of requests in that time.
    pub while_ending: EndingBehavior,
}

/// What becomes of requests to an engine that is ending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndingBehavior {
    /// They are answered by a process that has lost all streams.
    #[default]
    Answered,
    /// Their connections are established, and nobody reads them.
    Held,
}

/// Reaction of an engine to a poison request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoisonBehavior {
    /// The engine answers as usual.
    #[default]
    Survives,
    /// The engine is killed, as by [`EngineStandin::kill`].
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
            ending_ms: 0,
            while_ending: EndingBehavior::Answered,
        }
    }
}

/// Configuration of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Name of the instance.
    pub name: String,
    /// Cost model of the iterations.
    pub profile: EngineProfile,
    /// Initial role.
    pub role: Role,
    /// Loaded models, each as `model@version`.
    pub loaded: Vec<String>,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_orders: bool,
    /// Age of the load in reports, in ms.
    pub report_lag_ms: u64,
    /// IP address and port of the weight store; if empty, models load without a fetch.
    pub weight_store: String,
}

impl EngineOptions {
    /// Default options for an engine with one loaded model, given as `model@version`.
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

/// Report of an engine about itself.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Current role.
    pub role: String,
    /// Loaded models, each as `model@version`.
    pub loaded: Vec<String>,
    /// Whether an order is in progress.
    pub changing: bool,
    /// Highest fencing token of an accepted order.
    #[serde(rename = "order")]
    pub highest_fencing_token: u64,
    /// Prompt tokens that wait for prefill, by rank.
    #[serde(rename = "queued")]
    pub queued_tokens: Vec<f64>,
    /// Number of sequences in decode.
    #[serde(rename = "running")]
    pub running_sequences: usize,
    /// Age of the load values, in ms.
    pub age_ms: u64,
}

struct Inner {
    options: EngineOptions,
    faults: EngineFaults,
    batch: Batch,
    streams: Streams,
    orders: Orders,
    snapshots: VecDeque<(u64, EngineStatus)>,
}

/// A running engine stand-in; clones refer to the same engine.
#[derive(Clone)]
pub struct EngineStandin {
    clock: Clock,
    inner: Rc<RefCell<Inner>>,
    wake_up: Rc<Notify>,
    server: Rc<RefCell<Option<Server>>>,
    is_killed: Rc<Cell<bool>>,
}

impl EngineStandin {
    /// Starts an engine that listens on the given address.
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
                snapshots: VecDeque::new(),
            })),
            wake_up: Rc::default(),
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
        actix_rt::spawn(engine.clone().record_snapshots());
        Ok(engine)
    }

    /// Address and port of the HTTP server; empty before it is started.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.inner.borrow_mut().faults = faults;
        self.wake_up.notify_one();
    }

    /// Accepted orders by arrival, each with its fencing token and its kind and argument.
    pub fn accepted_orders(&self) -> Vec<(u64, String)> {
        self.inner.borrow().orders.accepted().to_vec()
    }

    /// Number of streams that have neither finished nor failed.
    pub fn unfinished_requests(&self) -> usize {
        self.inner.borrow().streams.unfinished()
    }

    /// Fails all unfinished streams and empties the caches, as a crash does. The engine keeps
    /// listening, like one that restarts at once.
    pub fn crash(&self) {
        let mut inner = self.inner.borrow_mut();
        inner.batch.clear();
        inner.streams.fail_all();
    }

    /// Whether [`EngineStandin::kill`] has not been called yet.
    pub fn is_listening(&self) -> bool {
        !self.is_killed.get()
    }

    /// Closes all connections and stops listening, as the loss of the process does.
    pub fn kill(&self) {
        self.is_killed.set(true);
        self.crash();
        let ending_ms = self.inner.borrow().faults.ending_ms;
        let engine = self.clone();
        let stop = move || {
            if let Some(server) = engine.server.borrow().as_ref() {
                server.kill();
            }
        };
        if ending_ms == 0 {
            return stop();
        }
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(ending_ms)).await;
            stop();
        });
    }

    /// Whether nobody reads requests any more, since the process is ending.
    fn holds_requests(&self) -> bool {
        self.is_killed.get() && self.inner.borrow().faults.while_ending == EndingBehavior::Held
    }

    async fn iterate(self) {
        loop {
            let has_no_work = {
                let inner = self.inner.borrow();
                inner.faults.stall || inner.batch.is_idle()
            };
            if has_no_work {
                let wait = Duration::from_millis(SNAPSHOT_MS);
                let _ = actix_rt::time::timeout(wait, self.wake_up.notified()).await;
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

    async fn record_snapshots(self) {
        loop {
            actix_rt::time::sleep(Duration::from_millis(SNAPSHOT_MS)).await;
            let now_ms = self.clock.now_ms();
            let mut inner = self.inner.borrow_mut();
            for id in inner.streams.remove_abandoned(now_ms) {
                inner.batch.cancel(id);
            }
            let status = inner.status();
            inner.snapshots.push_back((now_ms, status));
            let lag_ms = inner.options.report_lag_ms;
            while inner
                .snapshots
                .get(1)
                .is_some_and(|next| next.0 + lag_ms <= now_ms)
            {
                inner.snapshots.pop_front();
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
            highest_fencing_token: self.orders.highest(),
            queued_tokens: self.batch.queued_tokens().to_vec(),
            running_sequences: self.batch.running_sequences(),
            age_ms: 0,
        }
    }

    /// Reports the load of `report_lag_ms` ago. Role, loaded models and orders are current.
    fn report(&self, now_ms: u64) -> EngineStatus {
        let current = self.status();
        let Some((at_ms, snapshot)) = self.snapshots.front() else {
            return current;
        };
        EngineStatus {
            queued_tokens: snapshot.queued_tokens.clone(),
            running_sequences: snapshot.running_sequences,
            age_ms: now_ms - at_ms,
            ..current
        }
    }
}
