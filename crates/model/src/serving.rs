//! Simulates an engine that prefills prompts or decodes, one iteration at a time, by the figures of
//! a data sheet.
//!
//! In contrast to [`crate::Batch`] a prompt is a chain of shared parts, attention grows with the
//! context, a prompt may come prefilled from another engine, and a decode engine prefills at half the
//! speed in smaller chunks. Preemption of running requests is left out.

use std::collections::BTreeMap;

use crate::PrefixCache;

/// Factor by which a decode engine prefills slower than a prefill engine.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.0;

/// Factor by which the prefill chunk of a decode engine is smaller.
const DECODE_CHUNK_DIVISOR: u32 = 4;

/// Figures of an engine's data sheet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSheet {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait beyond those; further ones are rejected.
    pub queue: u32,
    /// Fixed time of an iteration.
    pub step_ms: f64,
    /// Time that each running request adds to an iteration.
    pub step_ms_per_slot: f64,
    /// Time that each thousand tokens of running requests' contexts add to an iteration.
    pub context_ms_per_k: f64,
    /// Prompt tokens that are prefilled in a ms.
    pub prefill_tokens_per_ms: f64,
    /// Time of the attention between a million pairs of prompt tokens.
    pub pairs_ms_per_m: f64,
    /// Prompt tokens that an iteration prefills at most.
    pub chunk: u32,
    /// Tokens that the KV cache holds, for running requests and cached parts together.
    pub kv_tokens: u64,
    /// Output tokens in one event of a stream.
    pub event_tokens: u32,
}

/// What an engine does with prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServingStage {
    /// It prefills prompts for others.
    Prefill,
    /// It generates output.
    Decode,
}

/// Part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies its text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Identifies the request at this engine.
    pub id: u64,
    /// Rank in the queue, 0 first.
    pub rank: u8,
    /// Parts of the prompt, in order.
    pub parts: Vec<Part>,
    /// Events of output; 0 if only the prefill is asked for.
    pub events: u32,
    /// Whether the prompt's KV cache was transferred, so that no prefill is left to do.
    pub is_prefilled: bool,
}

impl Generation {
    /// Length of the prompt in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

#[derive(Debug, Clone)]
struct Admitted {
    generation: Generation,
    remaining_tokens: u32,
    own_tokens: u64,
    produced: u32,
}

impl Admitted {
    fn context_tokens(&self) -> u32 {
        self.generation.prompt_tokens() - self.remaining_tokens + self.produced
    }
}

/// What happened to a request in an iteration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Its prompt is prefilled, and it asked for no more.
    Prefilled,
    /// Its first token was produced.
    Started,
    /// Its event with this number is complete, counted from 1.
    Event(u32),
    /// Its last event is complete.
    Finished,
}

/// An iteration: how long it takes, and what is done at its end.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServingIteration {
    /// Duration in ms.
    pub duration_ms: f64,
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u32,
    /// Progress of requests, in order.
    pub progress: Vec<(u64, Progress)>,
}

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServingLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens of the KV cache that running requests use.
    pub kv_used: u64,
}

/// The queue of an engine is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Queue, running requests and cached parts of one engine.
#[derive(Debug, Clone)]
pub struct ServingEngine {
    sheet: EngineSheet,
    stage: ServingStage,
    waiting: BTreeMap<(u8, u64), Generation>,
    arrivals: u64,
    running: Vec<Admitted>,
    cache: PrefixCache,
}

impl ServingEngine {
    /// Creates an idle engine that caches nothing.
    pub fn new(sheet: EngineSheet, stage: ServingStage) -> Self {
        Self {
            sheet,
            stage,
            waiting: BTreeMap::new(),
            arrivals: 0,
            running: Vec::new(),
            cache: PrefixCache::new(sheet.kv_tokens),
        }
    }

    /// What it does with prompts.
    pub fn stage(&self) -> ServingStage {
        self.stage
    }

    /// Changes what it does with prompts; running requests and cached parts stay.
    pub fn set_stage(&mut self, stage: ServingStage) {
        self.stage = stage;
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, generation: Generation) -> Result<(), QueueFull> {
        if self.waiting.len() >= self.sheet.queue as usize {
            return Err(QueueFull);
        }
        self.arrivals += 1;
        let key = (generation.rank, self.arrivals);
        self.waiting.insert(key, generation);
        Ok(())
    }

    /// Removes a request; does nothing if it is unknown.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|_, generation| generation.id != id);
        self.running.retain(|admitted| admitted.generation.id != id);
    }

    /// Whether it has no request.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Its load.
    pub fn load(&self) -> ServingLoad {
        ServingLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used: self.kv_used(),
        }
    }

    /// Number of a prompt's first parts that it caches.
    pub fn cached_parts(&self, parts: &[Part]) -> usize {
        let is_cached = |part: &&Part| self.cache.cached_tokens(part.id) >= part.tokens;
        parts.iter().take_while(is_cached).count()
    }

    /// Tokens of a prompt's start that it caches.
    pub fn cached_tokens(&self, parts: &[Part]) -> u32 {
        let cached = &parts[..self.cached_parts(parts)];
        cached.iter().map(|part| part.tokens).sum()
    }

    /// Stores parts that were copied from another engine.
    pub fn store_parts(&mut self, parts: &[Part]) {
        for part in parts {
            self.cache.lookup_or_insert(part.id, part.tokens);
        }
    }

    /// Drops all cached parts, as a restart does.
    pub fn clear_cache(&mut self) {
        self.cache.clear();
    }

    fn kv_used(&self) -> u64 {
        self.running
            .iter()
            .map(|admitted| admitted.own_tokens)
            .sum()
    }

    /// Runs one iteration.
    pub fn iterate(&mut self) -> ServingIteration {
        self.admit();
        let mut iteration = ServingIteration {
            duration_ms: self.step_ms(),
            ..ServingIteration::default()
        };
        self.decode(&mut iteration);
        self.prefill(&mut iteration);
        let is_done = |id: u64, iteration: &ServingIteration| {
            iteration.progress.iter().any(|&(other, progress)| {
                other == id && matches!(progress, Progress::Prefilled | Progress::Finished)
            })
        };
        self.running
            .retain(|admitted| !is_done(admitted.generation.id, &iteration));
        iteration
    }

    /// Time of an iteration without prefill.
    fn step_ms(&self) -> f64 {
        let decoding = self.running.iter().filter(|it| it.remaining_tokens == 0);
        let (count, context) = decoding.fold((0.0, 0.0), |(count, context), it| {
            (count + 1.0, context + f64::from(it.context_tokens()))
        });
        self.sheet.step_ms
            + self.sheet.step_ms_per_slot * count
            + self.sheet.context_ms_per_k * context / 1_000.0
    }

    fn admit(&mut self) {
        while self.running.len() < self.sheet.slots as usize {
            let Some((&key, next)) = self.waiting.first_key_value() else {
                return;
            };
            let prompt_tokens = next.prompt_tokens();
            let cached = if next.is_prefilled {
                prompt_tokens
            } else {
                self.cached_tokens(&next.parts)
                    .min(prompt_tokens.saturating_sub(1))
            };
            let output = next.events * self.sheet.event_tokens;
            let own_part = next.parts.last().map_or(0, |part| part.tokens);
            let own_tokens = u64::from(own_part + output);
            if self.kv_used() + own_tokens > self.sheet.kv_tokens && !self.running.is_empty() {
                return;
            }
            let Some(generation) = self.waiting.remove(&key) else {
                return;
            };
            let held = if generation.is_prefilled {
                generation.parts.len()
            } else {
                self.cached_parts(&generation.parts)
            };
            self.store_parts(&generation.parts[..held]);
            self.running.push(Admitted {
                remaining_tokens: prompt_tokens - cached,
                own_tokens,
                produced: 0,
                generation,
            });
            let left = self.sheet.kv_tokens.saturating_sub(self.kv_used());
            self.cache.shrink_to(left);
        }
    }

    /// Each request whose prompt is prefilled produces a token.
    fn decode(&mut self, iteration: &mut ServingIteration) {
        let event_tokens = self.sheet.event_tokens.max(1);
        let decoding = |it: &&mut Admitted| it.remaining_tokens == 0;
        for admitted in self.running.iter_mut().filter(decoding) {
            let id = admitted.generation.id;
            if admitted.generation.events == 0 {
                iteration.progress.push((id, Progress::Prefilled));
                continue;
            }
            admitted.produced += 1;
            if admitted.produced == 1 {
                iteration.progress.push((id, Progress::Started));
            }
            if admitted.produced % event_tokens == 0 {
                let event = admitted.produced / event_tokens;
                iteration.progress.push((id, Progress::Event(event)));
                if event >= admitted.generation.events {
                    iteration.progress.push((id, Progress::Finished));
                }
            }
        }
    }

    /// Prefills one chunk, in the order of ranks. A prompt is cached once it is prefilled as a whole.
    fn prefill(&mut self, iteration: &mut ServingIteration) {
        let mut prefilled: Vec<Vec<Part>> = Vec::new();
        let (slowdown, chunk) = match self.stage {
            ServingStage::Prefill => (1.0, self.sheet.chunk),
            ServingStage::Decode => (
                DECODE_PREFILL_SLOWDOWN,
                self.sheet.chunk / DECODE_CHUNK_DIVISOR,
            ),
        };
        let mut order: Vec<&mut Admitted> = self
            .running
            .iter_mut()
            .filter(|it| it.remaining_tokens > 0)
            .collect();
        order.sort_by_key(|it| it.generation.rank);
        for admitted in order {
            let tokens = admitted
                .remaining_tokens
                .min(chunk - iteration.prefilled_tokens);
            if tokens == 0 {
                break;
            }
            let before = f64::from(admitted.context_tokens());
            let pairs = f64::from(tokens) * (before + f64::from(tokens) / 2.0);
            let prefill_ms = f64::from(tokens) / self.sheet.prefill_tokens_per_ms
                + pairs / 1e6 * self.sheet.pairs_ms_per_m;
            iteration.duration_ms += prefill_ms * slowdown;
            iteration.prefilled_tokens += tokens;
            admitted.remaining_tokens -= tokens;
            if admitted.remaining_tokens > 0 {
                continue;
            }
            prefilled.push(admitted.generation.parts.clone());
            if admitted.generation.events == 0 {
                let id = admitted.generation.id;
                iteration.progress.push((id, Progress::Prefilled));
            }
        }
        for parts in prefilled {
            self.store_parts(&parts);
        }
    }
}
