//! Streams that can be resumed from an offset and cancelled.

use std::collections::HashMap;
use std::rc::Rc;

use tokio::sync::Notify;

use model::{Iteration, Job};

use crate::{expected_text, expected_token};

/// Time without a reader after which an unfinished stream is dropped, in ms.
const UNREAD_TIMEOUT_MS: u64 = 5_000;

/// Time without a reader for which a finished stream stays available, in ms.
const RETENTION_MS: u64 = 60_000;

/// Stream of one request.
#[derive(Debug)]
pub(super) struct Stream {
    /// Request id from the sender.
    pub(super) name: String,
    /// Prompt, which determines the tokens of the answer.
    pub(super) prompt: String,
    /// Number of leading tokens that an earlier engine produced.
    pub(super) generated: u32,
    /// Number of tokens in the complete answer.
    pub(super) total: u32,
    /// Number of tokens produced so far, including those of an earlier engine.
    pub(super) produced: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub(super) cached: u32,
    /// Number of prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Whether a crash lost the stream.
    pub(super) failed: bool,
    /// Whether its connection was already cut by an injected fault.
    pub(super) was_cut: bool,
    readers: u32,
    idle_since_ms: u64,
    /// Notifies readers of new tokens and of the end.
    pub(super) progress: Rc<Notify>,
}

impl Stream {
    pub(super) fn is_done(&self) -> bool {
        self.produced >= self.total
    }

    /// The token at a position of the answer.
    pub(super) fn token(&self, position: u32) -> String {
        expected_token(&self.prompt, position as usize)
    }
}

/// All streams of an engine.
#[derive(Debug, Default)]
pub(super) struct Streams {
    by_id: HashMap<u64, Stream>,
    by_name: HashMap<String, u64>,
    next: u64,
}

/// Parameters of a new stream.
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
    /// Opens a stream. Returns `None` if the name is in use, or if the generated text is not the
    /// beginning of the expected answer.
    pub(super) fn open(&mut self, now_ms: u64, new: NewStream) -> Option<Job> {
        if self.by_name.contains_key(&new.name) {
            return None;
        }
        let mut generated = 0;
        while expected_text(&new.prompt, generated as usize).len() < new.generated.len() {
            generated += 1;
        }
        if expected_text(&new.prompt, generated as usize) != new.generated {
            return None;
        }
        self.next += 1;
        let id = self.next;
        self.by_name.insert(new.name.clone(), id);
        let stream = Stream {
            name: new.name,
            prompt: new.prompt,
            generated,
            total: new.max_tokens,
            produced: generated,
            cached: 0,
            prompt_tokens: new.prompt_tokens,
            failed: false,
            was_cut: false,
            readers: 0,
            idle_since_ms: now_ms,
            progress: Rc::default(),
        };
        self.by_id.insert(id, stream);
        Some(Job {
            id,
            rank: new.rank,
            order_in_rank: new.order,
            prompt_tokens: new.prompt_tokens + generated,
            output_tokens: (new.max_tokens - generated.min(new.max_tokens)).max(1),
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
                stream.produced = stream.generated + produced;
                if stream.is_done() {
                    stream.idle_since_ms = now_ms;
                }
                stream.progress.notify_waiters();
            }
        }
    }

    pub(super) fn update_readers(&mut self, now_ms: u64, id: u64, is_added: bool) {
        if let Some(stream) = self.by_id.get_mut(&id) {
            stream.readers = if is_added {
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
            stream.progress.notify_waiters();
        }
    }

    pub(super) fn cancel(&mut self, name: &str) -> Option<u64> {
        let id = self.by_name.remove(name)?;
        if let Some(stream) = self.by_id.remove(&id) {
            stream.progress.notify_waiters();
        }
        Some(id)
    }

    /// Removes streams without a reader whose time has run out, and returns their ids.
    pub(super) fn remove_abandoned(&mut self, now_ms: u64) -> Vec<u64> {
        let old = |stream: &Stream| {
            let keep_ms = if stream.is_done() {
                RETENTION_MS
            } else {
                UNREAD_TIMEOUT_MS
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
