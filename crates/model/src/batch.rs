//! A continuously batching engine, iteration by iteration.
//!
//! The stand-in runs it in real time and the bench in virtual time. It takes the linear cost
//! model of `plan::EngineProfile`, chunked prefill, strict priorities, a bound on KV cache, and a prefix
//! cache; it leaves out attention's growth with context, preemption of running sequences and
//! speculative decoding.

use std::collections::{BTreeMap, HashMap};

use conf::Role;
use plan::{EngineProfile, RANKS};

use crate::PrefixCache;

/// Share of KV memory that prefixes of past prompts may fill.
const PREFIX_SHARE: f64 = 0.3;

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Number that tells it apart.
    pub id: u64,
    /// Level of urgency, 0 first.
    pub rank: usize,
    /// Order within a rank, smallest first.
    pub order_in_rank: u64,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens.
    pub output_tokens: u32,
    /// Names the prompt's shared prefix; 0 for none.
    pub prefix: u64,
    /// Tokens of that prefix.
    pub prefix_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: Job,
    left: u32,
    begun: bool,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    job: Job,
    produced: u32,
}

/// What one iteration did.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Iteration {
    /// Its length.
    pub duration_ms: f64,
    /// Jobs that got a token, and how many they have now.
    pub tokens: Vec<(u64, u32)>,
    /// Jobs that are complete.
    pub finished: Vec<u64>,
    /// Jobs whose prompt was begun, and the tokens of it that were cached.
    pub started: Vec<(u64, u32)>,
}

/// The engine's queue and batch.
#[derive(Debug, Clone)]
pub struct Batch {
    shape: EngineProfile,
    role: Role,
    waiting: BTreeMap<(usize, u64, u64), Waiting>,
    places: HashMap<u64, (usize, u64, u64)>,
    running: Vec<Running>,
    kv_tokens: u64,
    begun: u32,
    prefixes: PrefixCache,
}

impl Batch {
    /// An idle engine.
    pub fn new(shape: EngineProfile, role: Role) -> Self {
        let room = (shape.kv_tokens as f64 * PREFIX_SHARE) as u64;
        Self {
            shape,
            role,
            waiting: BTreeMap::new(),
            places: HashMap::new(),
            running: Vec::new(),
            kv_tokens: 0,
            begun: 0,
            prefixes: PrefixCache::new(room),
        }
    }

    /// The role it plays.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Plays another role, with a cold cache. Jobs it holds stay.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.prefixes.clear();
    }

    /// Takes a job in.
    pub fn push(&mut self, job: Job) {
        let place = (job.rank, job.order_in_rank, job.id);
        self.places.insert(job.id, place);
        let waiting = Waiting {
            job,
            left: job.prompt_tokens.max(1),
            begun: false,
        };
        self.waiting.insert(place, waiting);
    }

    /// Drops a job.
    pub fn cancel(&mut self, id: u64) {
        if let Some(place) = self.places.remove(&id) {
            if let Some(waiting) = self.waiting.remove(&place).filter(|waiting| waiting.begun) {
                self.begun -= 1;
                self.release(&waiting.job);
            }
            return;
        }
        if let Some(index) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.swap_remove(index);
            self.release(&running.job);
        }
    }

    /// Drops all jobs, as a crash does, and gives their numbers.
    pub fn clear(&mut self) -> Vec<u64> {
        let waiting = self.waiting.values().map(|waiting| waiting.job.id);
        let running = self.running.iter().map(|running| running.job.id);
        let ids = waiting.chain(running).collect();
        self.waiting.clear();
        self.places.clear();
        self.running.clear();
        self.kv_tokens = 0;
        self.begun = 0;
        self.prefixes.clear();
        ids
    }

    /// Whether there is nothing to do.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Prompt tokens waiting, by rank.
    pub fn queued_tokens(&self) -> [f64; RANKS] {
        let mut queued = [0.0; RANKS];
        for waiting in self.waiting.values() {
            queued[waiting.job.rank] += f64::from(waiting.left);
        }
        queued
    }

    /// Sequences that produce output.
    pub fn running_sequences(&self) -> usize {
        self.running.len()
    }

    /// Tokens of a prefix that are held.
    pub fn cached_tokens(&self, prefix: u64) -> u32 {
        self.prefixes.cached_tokens(prefix)
    }

    /// Does one iteration.
    pub fn iterate(&mut self) -> Iteration {
        let mut iteration = Iteration::default();
        let decoding = self.running.len();
        let (read, ready) = self.read_prompts(&mut iteration);
        iteration.duration_ms = self.shape.iteration_ms(decoding as f64, f64::from(read));
        for running in &mut self.running {
            running.produced += 1;
        }
        for job in ready {
            self.running.push(Running { job, produced: 1 });
        }
        self.collect(&mut iteration);
        iteration
    }

    fn read_prompts(&mut self, iteration: &mut Iteration) -> (u32, Vec<Job>) {
        let chunk = EngineProfile::chunk_tokens(self.role);
        let mut read = 0;
        let mut ready = Vec::new();
        let places: Vec<_> = self.waiting.keys().copied().collect();
        for place in places {
            if read == chunk || !self.begin(place, iteration) {
                break;
            }
            let Some(waiting) = self.waiting.get_mut(&place) else {
                continue;
            };
            let part = waiting.left.min(chunk - read);
            waiting.left -= part;
            read += part;
            if waiting.left == 0 {
                ready.push(waiting.job);
                self.places.remove(&waiting.job.id);
                self.waiting.remove(&place);
                self.begun -= 1;
            }
        }
        (read, ready)
    }

    /// Gives a job its KV room; `false` when there is none, and none behind it gets any either.
    fn begin(&mut self, place: (usize, u64, u64), iteration: &mut Iteration) -> bool {
        let Some(waiting) = self.waiting.get_mut(&place) else {
            return false;
        };
        if waiting.begun {
            return true;
        }
        let job = waiting.job;
        let need = u64::from(job.prompt_tokens + job.output_tokens);
        let sequences = self.running.len() as u32 + self.begun;
        let full = self.kv_tokens + need > self.shape.kv_tokens && self.kv_tokens > 0;
        if full || sequences >= self.shape.max_running {
            return false;
        }
        let cached = self
            .prefixes
            .lookup_or_insert(job.prefix, job.prefix_tokens);
        waiting.begun = true;
        waiting.left = waiting.left.saturating_sub(cached).max(1);
        self.begun += 1;
        self.kv_tokens += need;
        iteration.started.push((job.id, cached));
        true
    }

    fn collect(&mut self, iteration: &mut Iteration) {
        let mut index = 0;
        while index < self.running.len() {
            let running = self.running[index];
            iteration.tokens.push((running.job.id, running.produced));
            if running.produced < running.job.output_tokens {
                index += 1;
                continue;
            }
            iteration.finished.push(running.job.id);
            self.running.swap_remove(index);
            self.release(&running.job);
        }
    }

    fn release(&mut self, job: &Job) {
        let held = u64::from(job.prompt_tokens + job.output_tokens);
        self.kv_tokens = self.kv_tokens.saturating_sub(held);
    }
}
