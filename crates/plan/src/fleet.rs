//! An instance's view of the engines and of the load on them.

use std::collections::HashMap;

use conf::Role;

use crate::{EngineProfile, Forecast, Health, HealthStatus, RANKS};

/// Age from which the load that a peer last reported is ignored.
const PEER_STALE_MS: u64 = 3_000;

/// Whether an engine can be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Presence {
    /// It serves requests.
    #[default]
    Live,
    /// It is changing its role or its models.
    Changing,
    /// It is drained or shutting down.
    Leaving,
    /// It is not in the list of engines, or does not report.
    Gone,
}

/// Load as an engine last reported it, which lags behind the actual load.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Time of the report, by this instance's clock.
    pub at_ms: u64,
    /// Prompt tokens in the queue, by rank.
    pub queued: [f64; RANKS],
    /// Sequences that produce output.
    pub running: f64,
}

/// Unfinished work on an engine, as seen by the instance that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Outstanding {
    /// Prompt tokens of requests without a first token, by rank.
    pub prompt: [f64; RANKS],
    /// Requests without a first token, by rank.
    pub waiting: [f64; RANKS],
    /// Requests that produce output.
    pub running: f64,
    /// Output tokens still expected.
    pub output: f64,
}

impl Outstanding {
    fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.prompt.iter_mut().zip(other.prompt) {
            *mine += theirs;
        }
        for (mine, theirs) in self.waiting.iter_mut().zip(other.waiting) {
            *mine += theirs;
        }
        self.running += other.running;
        self.output += other.output;
    }

    /// Requests without a first token, of this rank and more urgent ones.
    pub fn waiting_ahead(&self, rank: usize) -> f64 {
        self.waiting.iter().take(rank + 1).sum()
    }

    /// Requests that are not finished.
    pub fn requests(&self) -> f64 {
        self.running + self.waiting_ahead(RANKS - 1)
    }

    /// Prompt tokens of requests without a first token, of this rank and more urgent ones.
    pub fn prompt_ahead(&self, rank: usize) -> f64 {
        self.prompt.iter().take(rank + 1).sum()
    }
}

#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    at_ms: u64,
    load: Outstanding,
}

/// An engine as this instance sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Unique name.
    pub name: String,
    /// Model that it serves.
    pub model: String,
    /// Lease group that the engine takes orders from.
    pub group: String,
    /// One-way network delay.
    pub one_way_delay_ms: f64,
    /// Current role.
    pub role: Role,
    /// Whether it can be sent requests.
    pub presence: Presence,
    /// Cost model.
    pub profile: EngineProfile,
    /// Recent latency and failures.
    pub health: Health,
    report: LoadReport,
    own: Outstanding,
    /// Value of `own` when `report` was received.
    own_at_report: Outstanding,
    peers: HashMap<String, PeerLoad>,
    /// Fraction of its time that upcoming prompts are expected to take, by rank.
    pub prefill_utilization: [f64; RANKS],
}

impl Engine {
    /// A live engine without load, in the mixed role and without network delay.
    pub fn new(name: &str, model: &str, group: &str, profile: EngineProfile) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            group: group.to_owned(),
            one_way_delay_ms: 0.0,
            role: Role::Mixed,
            presence: Presence::Live,
            profile,
            health: Health::default(),
            report: LoadReport::default(),
            own: Outstanding::default(),
            own_at_report: Outstanding::default(),
            peers: HashMap::new(),
            prefill_utilization: [0.0; RANKS],
        }
    }

    /// The engine's last report.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Stores a report unless a later one is known.
    pub fn record_report(&mut self, report: LoadReport) {
        if report.at_ms >= self.report.at_ms {
            self.report = report;
            self.own_at_report = self.own;
        }
    }

    /// Stores the load that a peer reports to have outstanding on this engine.
    pub fn record_peer_load(&mut self, now_ms: u64, peer: &str, load: Outstanding) {
        let peer_load = PeerLoad {
            at_ms: now_ms,
            load,
        };
        self.peers.insert(peer.to_owned(), peer_load);
    }

    /// Unfinished work that this instance sent.
    pub fn own_load(&self) -> &Outstanding {
        &self.own
    }

    /// Records a request as sent; it is the probe if the engine is due for one.
    pub fn record_sent(
        &mut self,
        now_ms: u64,
        rank: usize,
        prompt_tokens: f64,
        output_tokens: f64,
    ) {
        if self.health.status(now_ms) == HealthStatus::Probe {
            self.health.start_probe();
        }
        self.own.prompt[rank] += prompt_tokens;
        self.own.waiting[rank] += 1.0;
        self.own.output += output_tokens;
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, rank: usize, prompt_tokens: f64) {
        self.own.prompt[rank] = (self.own.prompt[rank] - prompt_tokens).max(0.0);
        self.own.waiting[rank] = (self.own.waiting[rank] - 1.0).max(0.0);
        self.own.running += 1.0;
    }

    /// Records the end of a request whose first token had arrived.
    pub fn record_finished(&mut self, output_tokens: f64) {
        self.own.running = (self.own.running - 1.0).max(0.0);
        self.own.output = (self.own.output - output_tokens).max(0.0);
    }

    /// Records the end of a request whose first token never arrived.
    pub fn record_dropped(&mut self, rank: usize, prompt_tokens: f64, output_tokens: f64) {
        self.record_first_token(rank, prompt_tokens);
        self.record_finished(output_tokens);
    }

    /// Best estimate of the load: the own outstanding work plus what peers last reported of theirs.
    ///
    /// Every request to an engine passes through an instance, so the sum of the instances'
    /// outstanding work is the engine's load, and it is more recent than the engine's own report.
    /// If no peer has reported lately, their load is estimated from the engine's report.
    pub fn load(&self, now_ms: u64) -> Outstanding {
        let mut load = self.own;
        let is_fresh = |peer: &&PeerLoad| peer.at_ms + PEER_STALE_MS > now_ms;
        let mut is_any_fresh = false;
        for peer in self.peers.values().filter(is_fresh) {
            load.add(&peer.load);
            is_any_fresh = true;
        }
        if !is_any_fresh {
            load.add(&self.peer_load_from_report());
        }
        load
    }

    /// The load in the engine's last report that does not come from this instance.
    fn peer_load_from_report(&self) -> Outstanding {
        let mut peers = Outstanding::default();
        for (rank, tokens) in peers.prompt.iter_mut().enumerate() {
            *tokens = (self.report.queued[rank] - self.own_at_report.prompt[rank]).max(0.0);
        }
        peers.running = (self.report.running - self.own_at_report.running).max(0.0);
        peers
    }
}

/// The engines that an instance knows, each identified by an index that never changes.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_name: HashMap<String, usize>,
    by_model: HashMap<String, Vec<usize>>,
}

impl Fleet {
    /// Adds an engine and returns its index; if one of that name exists, it is kept as it is.
    pub fn add(&mut self, engine: Engine) -> usize {
        if let Some(&index) = self.by_name.get(&engine.name) {
            return index;
        }
        let index = self.engines.len();
        self.by_name.insert(engine.name.clone(), index);
        self.by_model
            .entry(engine.model.clone())
            .or_default()
            .push(index);
        self.engines.push(engine);
        index
    }

    /// Index of the engine with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Indices of the engines that serve a model; empty for an unknown model.
    pub fn indices_of_model(&self, model: &str) -> &[usize] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// The engine at an index; panics if there is none.
    pub fn get(&self, index: usize) -> &Engine {
        &self.engines[index]
    }

    /// The engine at an index, mutably; panics if there is none.
    pub fn get_mut(&mut self, index: usize) -> &mut Engine {
        &mut self.engines[index]
    }

    /// Distributes the forecast prompts evenly over a model's live engines, so that predictions
    /// count the more urgent work that will arrive while a request waits.
    pub fn apply_forecast(&mut self, model: &str, forecast: &Forecast) {
        let indices = self.indices_of_model(model).to_vec();
        let live = indices
            .iter()
            .filter(|&&index| self.get(index).presence == Presence::Live);
        let live = live.count().max(1) as f64;
        for index in indices {
            let engine = self.get_mut(index);
            let chunk = f64::from(EngineProfile::chunk_tokens(engine.role));
            let tokens_per_ms = chunk / engine.profile.iteration_ms(engine.own.running, chunk);
            for (rank, utilization) in engine.prefill_utilization.iter_mut().enumerate() {
                *utilization = forecast.prompt_rate_at(rank) / live / tokens_per_ms;
            }
        }
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// All engines, mutably.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.engines.iter_mut()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }
}
