//! What one instance believes of each engine.

use std::collections::HashMap;

use conf::Role;

use crate::{EngineProfile, Forecast, Health, HealthStatus, RANKS};

/// Age at which what a peer said of its own load is no longer counted.
const PEER_STALE_MS: u64 = 3_000;

/// Whether an engine can be given work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Presence {
    /// It is live.
    #[default]
    Live,
    /// It is changing its role or its models.
    Changing,
    /// It is drained or on its way out.
    Leaving,
    /// It is not there.
    Gone,
}

/// Load as an engine last reported it, late.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// When it was true, on our clock.
    pub at_ms: u64,
    /// Prompt tokens waiting, by rank.
    pub queued: [f64; RANKS],
    /// Sequences that produce output.
    pub running: f64,
}

/// Work sent to an engine and not finished, seen from its sender.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Outstanding {
    /// Prompt tokens without a first token yet, by rank.
    pub prompt: [f64; RANKS],
    /// Requests without a first token yet, by rank.
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

    /// Requests without a first token yet, at this rank or before it.
    pub fn waiting_ahead(&self, rank: usize) -> f64 {
        self.waiting.iter().take(rank + 1).sum()
    }

    /// Requests that are not finished.
    pub fn requests(&self) -> f64 {
        self.running + self.waiting_ahead(RANKS - 1)
    }

    /// Prompt tokens at this rank or before it.
    pub fn prompt_ahead(&self, rank: usize) -> f64 {
        self.prompt.iter().take(rank + 1).sum()
    }
}

#[derive(Debug, Clone, Copy)]
struct Told {
    at_ms: u64,
    load: Outstanding,
}

/// One engine as this instance sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name.
    pub name: String,
    /// Model that it serves.
    pub model: String,
    /// Group whose lease orders come under.
    pub group: String,
    /// Time of one way to it.
    pub one_way_delay_ms: f64,
    /// Role it plays.
    pub role: Role,
    /// Whether it can be given work.
    pub presence: Presence,
    /// What it can do.
    pub profile: EngineProfile,
    /// How its answers compare with predictions.
    pub health: Health,
    report: LoadReport,
    own: Outstanding,
    own_at_report: Outstanding,
    peers: HashMap<String, Told>,
    /// Share of time spent on prompts, by rank, as a moving average of what was sent.
    pub prefill_utilization: [f64; RANKS],
}

impl Engine {
    /// An engine of which nothing is known but its name.
    pub fn new(name: &str, model: &str, group: &str, shape: EngineProfile) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            group: group.to_owned(),
            one_way_delay_ms: 0.0,
            role: Role::Mixed,
            presence: Presence::Live,
            profile: shape,
            health: Health::default(),
            report: LoadReport::default(),
            own: Outstanding::default(),
            own_at_report: Outstanding::default(),
            peers: HashMap::new(),
            prefill_utilization: [0.0; RANKS],
        }
    }

    /// What the engine last reported.
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Takes in a report.
    pub fn record_report(&mut self, report: LoadReport) {
        if report.at_ms >= self.report.at_ms {
            self.report = report;
            self.own_at_report = self.own;
        }
    }

    /// Takes in what a peer says that it has outstanding here.
    pub fn record_peer_load(&mut self, now_ms: u64, peer: &str, load: Outstanding) {
        let told = Told {
            at_ms: now_ms,
            load,
        };
        self.peers.insert(peer.to_owned(), told);
    }

    /// Work of our own that is not finished.
    pub fn own_load(&self) -> &Outstanding {
        &self.own
    }

    /// A request was sent; to an engine that rests it is the probe.
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

    /// A request's first token came.
    pub fn record_first_token(&mut self, rank: usize, prompt_tokens: f64) {
        self.own.prompt[rank] = (self.own.prompt[rank] - prompt_tokens).max(0.0);
        self.own.waiting[rank] = (self.own.waiting[rank] - 1.0).max(0.0);
        self.own.running += 1.0;
    }

    /// A request that had started is over.
    pub fn record_finished(&mut self, output_tokens: f64) {
        self.own.running = (self.own.running - 1.0).max(0.0);
        self.own.output = (self.own.output - output_tokens).max(0.0);
    }

    /// A request is over that never started.
    pub fn record_dropped(&mut self, rank: usize, prompt_tokens: f64, output_tokens: f64) {
        self.record_first_token(rank, prompt_tokens);
        self.record_finished(output_tokens);
    }

    /// The load as best known: our own work exactly, that of others as they last said it.
    ///
    /// Every request to an engine passes through an instance, so what instances have outstanding
    /// is the load, fresher than a report by the report's lag. Without word from peers, the rest
    /// of a report beyond our own share of it stands for them.
    pub fn load(&self, now_ms: u64) -> Outstanding {
        let mut load = self.own;
        let fresh = |told: &&Told| told.at_ms + PEER_STALE_MS > now_ms;
        let mut heard = false;
        for told in self.peers.values().filter(fresh) {
            load.add(&told.load);
            heard = true;
        }
        if !heard {
            load.add(&self.others_by_report());
        }
        load
    }

    fn others_by_report(&self) -> Outstanding {
        let mut others = Outstanding::default();
        for (rank, tokens) in others.prompt.iter_mut().enumerate() {
            *tokens = (self.report.queued[rank] - self.own_at_report.prompt[rank]).max(0.0);
        }
        others.running = (self.report.running - self.own_at_report.running).max(0.0);
        others
    }
}

/// All engines that an instance knows.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    engines: Vec<Engine>,
    by_name: HashMap<String, usize>,
    by_model: HashMap<String, Vec<usize>>,
}

impl Fleet {
    /// Adds an engine and gives its place; an engine of the same name keeps what is known.
    pub fn add(&mut self, engine: Engine) -> usize {
        if let Some(&place) = self.by_name.get(&engine.name) {
            return place;
        }
        let place = self.engines.len();
        self.by_name.insert(engine.name.clone(), place);
        self.by_model
            .entry(engine.model.clone())
            .or_default()
            .push(place);
        self.engines.push(engine);
        place
    }

    /// Place of an engine by name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Places of the engines that serve a model.
    pub fn indices_of_model(&self, model: &str) -> &[usize] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// An engine by place.
    pub fn get(&self, place: usize) -> &Engine {
        &self.engines[place]
    }

    /// An engine by place, to be changed.
    pub fn get_mut(&mut self, place: usize) -> &mut Engine {
        &mut self.engines[place]
    }

    /// Spreads the prompts that are coming over a model's live engines, so that predictions
    /// count the work of higher rank that will arrive while a request waits.
    pub fn apply_forecast(&mut self, model: &str, forecast: &Forecast) {
        let places = self.indices_of_model(model).to_vec();
        let live = places
            .iter()
            .filter(|&&place| self.get(place).presence == Presence::Live);
        let live = live.count().max(1) as f64;
        for place in places {
            let engine = self.get_mut(place);
            let chunk = f64::from(EngineProfile::chunk_tokens(engine.role));
            let pace = chunk / engine.profile.iteration_ms(engine.own.running, chunk);
            for (rank, busy) in engine.prefill_utilization.iter_mut().enumerate() {
                *busy = forecast.prompt_rate_at(rank) / live / pace;
            }
        }
    }

    /// All engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter()
    }

    /// All engines, to be changed.
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
