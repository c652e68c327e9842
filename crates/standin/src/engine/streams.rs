//! Streams that can be resumed from an offset and cancelled.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use model::{Iteration, Job};

use crate::{expected_text, expected_token};

/// Time for which a stream that nobody reads is still worked on.
const ABANDON_MS: u64 = 5_000;

/// Time for which a complete stream can be resumed.
const KEEP_MS: u64 = 60_000;

/// One request's stream.
#[derive(Debug)]
pub(super) struct Stream {
    /// Name that the sender gave.
    pub(super) name: String,
    /// Prompt with the model's name, from which the answer follows.
    pub(super) prompt: String,
    /// Tokens that an earlier engine produced.
    pub(super) given: u32,
    /// Tokens of the whole answer.
    pub(super) total: u32,
    /// Tokens there are, those given included.
    pub(super) produced: u32,
    /// Prompt tokens that were cached.
    pub(super) cached: u32,
    /// Prompt tokens.
    pub(super) prompt_tokens: u32,
    /// It was lost.
    pub(super) failed: bool,
    /// Its connection was cut once.
    pub(super) was_cut: bool,
    readers: u32,
    idle_since_ms: u64,
    /// Wakes readers.
    pub(super) grown: Rc<Notify>,
}

impl Stream {
    pub(super) fn is_done(&self) -> bool {
        self.produced >= self.total
    }

    /// The token at a place of the answer.
    pub(super) fn token(&self, place: u32) -> String {
        expected_token(&self.prompt, place as usize)
    }
}

/// All streams of an engine.
#[derive(Debug, Default)]
pub(super) struct Streams {
    by_id: HashMap<u64, Stream>,
    by_name: HashMap<String, u64>,
    next: u64,
}

/// What a new stream is for.
pub(super) struct NewStream {
    pub(super) name: String,
    pub(super) prompt: String,
    pub(super) generated: String,
    pub(super) prompt_tokens: u32,
    pub(super) max_tokens: u32,
    pub(super) rank: usize,
    pub(super) order: u64,
}

impl Streams {
    /// Opens a stream; `None` when the name is in use or the text given is not its beginning.
    pub(super) fn open(&mut self, now_ms: u64, new: NewStream) -> Option<Job> {
        if self.by_name.contains_key(&new.name) {
            return None;
        }
        let mut given = 0;
        while expected_text(&new.prompt, given as usize).len() < new.generated.len() {
            given += 1;
        }
        if expected_text(&new.prompt, given as usize) != new.generated {
            return None;
        }
        self.next += 1;
        let id = self.next;
        self.by_name.insert(new.name.clone(), id);
        let stream = Stream {
            name: new.name,
            prompt: new.prompt,
            given,
            total: new.max_tokens,
            produced: given,
            cached: 0,
            prompt_tokens: new.prompt_tokens,
            failed: false,
            was_cut: false,
            readers: 0,
            idle_since_ms: now_ms,
            grown: Rc::default(),
        };
        self.by_id.insert(id, stream);
        Some(Job {
            id,
            rank: new.rank,
            order_in_rank: new.order,
            prompt_tokens: new.prompt_tokens + given,
            output_tokens: (new.max_tokens - given.min(new.max_tokens)).max(1),
            prefix: 0,
            prefix_tokens: 0,
        })
    }

    pub(super) fn id(&self, name: &str) -> Option<u64> {
        self.by_name.get(name).copied()
    }

    pub(super) fn get(&self, id: u64) -> Option<&Stream> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut Stream> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn unfinished(&self) -> usize {
        let open = |stream: &&Stream| !stream.is_done() && !stream.failed;
        self.by_id.values().filter(open).count()
    }

    pub(super) fn advance(&mut self, now_ms: u64, iteration: &Iteration) {
        for (id, cached) in &iteration.started {
            if let Some(stream) = self.by_id.get_mut(id) {
                stream.cached = *cached;
            }
        }
        for (id, produced) in &iteration.tokens {
            if let Some(stream) = self.by_id.get_mut(id) {
                stream.produced = stream.given + produced;
                if stream.is_done() {
                    stream.idle_since_ms = now_ms;
                }
                stream.grown.notify_waiters();
            }
        }
    }

    pub(super) fn reading(&mut self, now_ms: u64, id: u64, more: bool) {
        if let Some(stream) = self.by_id.get_mut(&id) {
            stream.readers = if more {
                stream.readers + 1
            } else {
                stream.readers - 1
            };
            stream.idle_since_ms = now_ms;
        }
    }

    pub(super) fn fail_all(&mut self) {
        for stream in self.by_id.values_mut().filter(|stream| !stream.is_done()) {
            stream.failed = true;
            stream.grown.notify_waiters();
        }
    }

    pub(super) fn cancel(&mut self, name: &str) -> Option<u64> {
        let id = self.by_name.remove(name)?;
        if let Some(stream) = self.by_id.remove(&id) {
            stream.grown.notify_waiters();
        }
        Some(id)
    }

    /// Ends streams that nobody has read for a while, and gives their numbers.
    pub(super) fn abandoned(&mut self, now_ms: u64) -> Vec<u64> {
        let old = |stream: &Stream| {
            let keep_ms = if stream.is_done() {
                KEEP_MS
            } else {
                ABANDON_MS
            };
            stream.readers == 0 && now_ms > stream.idle_since_ms + keep_ms
        };
        let ended = self.by_id.iter().filter(|(_, stream)| old(stream));
        let ids: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in &ids {
            if let Some(stream) = self.by_id.remove(id) {
                self.by_name.remove(&stream.name);
            }
        }
        ids
    }
}
