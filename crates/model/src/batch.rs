//! Simulates an engine with continuous batching, one iteration at a time.
//!
//! The engine stand-in runs it in real time, the policy bench in virtual time. It models the
//! linear iteration cost of `plan::EngineProfile`, chunked prefill, strict priorities, a limited
//! KV cache and a prefix cache. It leaves out the growth of attention cost with context length,
//! preemption of running sequences and speculative decoding.

use std::collections::{BTreeMap, HashMap};

use conf::Role;
use plan::{EngineProfile, RANKS};

use crate::PrefixCache;

/// Fraction of the KV cache that prefixes of earlier prompts may occupy.
const PREFIX_SHARE: f64 = 0.3;

/// A request as the engine sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Identifier, unique within the engine.
    pub id: u64,
    /// Priority level; 0 is served first.
    pub rank: usize,
    /// Position within the rank; the smallest is served first.
    pub order_in_rank: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of output tokens.
    pub output_tokens: u32,
    /// Identifies the prefix that the prompt shares with others; 0 if it shares none.
    pub prefix: u64,
    /// Number of tokens in that prefix.
    pub prefix_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    job: Job,
    remaining_tokens: u32,
    prefilling: bool,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    job: Job,
    produced: u32,
}

/// Results of one iteration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Iteration {
    /// Duration of the iteration, in ms.
    pub duration_ms: f64,
    /// Jobs that produced a token, with their token count so far.
    pub tokens: Vec<(u64, u32)>,
    /// Jobs that produced their last token.
    pub finished: Vec<u64>,
    /// Jobs whose prefill started, with the number of prompt tokens found in the prefix cache.
    pub started: Vec<(u64, u32)>,
}

/// Waiting queue and running batch of one engine.
#[derive(Debug, Clone)]
pub struct Batch {
    profile: EngineProfile,
    role: Role,
    waiting: BTreeMap<(usize, u64, u64), Waiting>,
    queue_keys: HashMap<u64, (usize, u64, u64)>,
    running: Vec<Running>,
    kv_tokens: u64,
    prefilling: u32,
    prefixes: PrefixCache,
}

impl Batch {
    /// Creates an idle engine with an empty prefix cache.
    pub fn new(profile: EngineProfile, role: Role) -> Self {
        let capacity_tokens = (profile.kv_tokens as f64 * PREFIX_SHARE) as u64;
        Self {
            profile,
            role,
            waiting: BTreeMap::new(),
            queue_keys: HashMap::new(),
            running: Vec::new(),
            kv_tokens: 0,
            prefilling: 0,
            prefixes: PrefixCache::new(capacity_tokens),
        }
    }

    /// Current role of the engine.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Changes the role and empties the prefix cache. Queued and running jobs stay.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.prefixes.clear();
    }

    /// Adds a job to the waiting queue.
    pub fn push(&mut self, job: Job) {
        let queue_key = (job.rank, job.order_in_rank, job.id);
        self.queue_keys.insert(job.id, queue_key);
        let waiting = Waiting {
            job,
            remaining_tokens: job.prompt_tokens.max(1),
            prefilling: false,
        };
        self.waiting.insert(queue_key, waiting);
    }

    /// Removes a job and frees its KV cache; does nothing if the job is unknown.
    pub fn cancel(&mut self, id: u64) {
        if let Some(queue_key) = self.queue_keys.remove(&id) {
            if let Some(waiting) = self
                .waiting
                .remove(&queue_key)
                .filter(|waiting| waiting.prefilling)
            {
                self.prefilling -= 1;
                self.release(&waiting.job);
            }
            return;
        }
        if let Some(index) = self.running.iter().position(|running| running.job.id == id) {
            let running = self.running.swap_remove(index);
            self.release(&running.job);
        }
    }

    /// Removes all jobs and cached prefixes, as a crash would, and returns the job identifiers.
    pub fn clear(&mut self) -> Vec<u64> {
        let waiting = self.waiting.values().map(|waiting| waiting.job.id);
        let running = self.running.iter().map(|running| running.job.id);
        let ids = waiting.chain(running).collect();
        self.waiting.clear();
        self.queue_keys.clear();
        self.running.clear();
        self.kv_tokens = 0;
        self.prefilling = 0;
        self.prefixes.clear();
        ids
    }

    /// Whether no job is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Prompt tokens that still wait for prefill, by rank.
    pub fn queued_tokens(&self) -> [f64; RANKS] {
        let mut queued = [0.0; RANKS];
        for waiting in self.waiting.values() {
            queued[waiting.job.rank] += f64::from(waiting.remaining_tokens);
        }
        queued
    }

    /// Number of sequences in decode.
    pub fn running_sequences(&self) -> usize {
        self.running.len()
    }

    /// Number of tokens of a prefix in the cache; does not count as a use.
    pub fn cached_tokens(&self, prefix: u64) -> u32 {
        self.prefixes.cached_tokens(prefix)
    }

    /// Runs one iteration: decodes one token for each running sequence and prefills one chunk.
    pub fn iterate(&mut self) -> Iteration {
        let mut iteration = Iteration::default();
        let decoding = self.running.len();
        let (prefilled_tokens, prefilled) = self.prefill(&mut iteration);
        iteration.duration_ms = self
            .profile
            .iteration_ms(decoding as f64, f64::from(prefilled_tokens));
        for running in &mut self.running {
            running.produced += 1;
        }
        for job in prefilled {
            self.running.push(Running { job, produced: 1 });
        }
        self.collect_tokens(&mut iteration);
        iteration
    }

    fn prefill(&mut self, iteration: &mut Iteration) -> (u32, Vec<Job>) {
        let chunk = EngineProfile::chunk_tokens(self.role);
        let mut prefilled_tokens = 0;
        let mut prefilled = Vec::new();
        let queue_keys: Vec<_> = self.waiting.keys().copied().collect();
        for queue_key in queue_keys {
            if prefilled_tokens == chunk || !self.reserve(queue_key, iteration) {
                break;
            }
            let Some(waiting) = self.waiting.get_mut(&queue_key) else {
                continue;
            };
            let portion = waiting.remaining_tokens.min(chunk - prefilled_tokens);
            waiting.remaining_tokens -= portion;
            prefilled_tokens += portion;
            if waiting.remaining_tokens == 0 {
                prefilled.push(waiting.job);
                self.queue_keys.remove(&waiting.job.id);
                self.waiting.remove(&queue_key);
                self.prefilling -= 1;
            }
        }
        (prefilled_tokens, prefilled)
    }

    /// Reserves KV cache for a job. Returns `false` if the cache or the batch is full; the caller
    /// then stops, so that no later job overtakes this one.
    fn reserve(&mut self, queue_key: (usize, u64, u64), iteration: &mut Iteration) -> bool {
        let Some(waiting) = self.waiting.get_mut(&queue_key) else {
            return false;
        };
        if waiting.prefilling {
            return true;
        }
        let job = waiting.job;
        let needed_tokens = u64::from(job.prompt_tokens + job.output_tokens);
        let sequences = self.running.len() as u32 + self.prefilling;
        let full = self.kv_tokens + needed_tokens > self.profile.kv_tokens && self.kv_tokens > 0;
        if full || sequences >= self.profile.max_running {
            return false;
        }
        let cached = self
            .prefixes
            .lookup_or_insert(job.prefix, job.prefix_tokens);
        waiting.prefilling = true;
        waiting.remaining_tokens = waiting.remaining_tokens.saturating_sub(cached).max(1);
        self.prefilling += 1;
        self.kv_tokens += needed_tokens;
        iteration.started.push((job.id, cached));
        true
    }

    fn collect_tokens(&mut self, iteration: &mut Iteration) {
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
