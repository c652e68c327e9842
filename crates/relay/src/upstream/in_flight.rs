//! What a request brings to an upstream, counted for as long as the request lives.

use std::cell::Cell;
use std::rc::Rc;

use plan::HealthStatus;

use super::Upstream;

/// What a request brings to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Work of reading its prompt, in tokens.
    pub prefill_tokens: f64,
    /// Length of the prompt from which output will be made there, in tokens.
    pub context_tokens: f64,
    /// Rank at which the prompt waits to be read, 0 first.
    pub rank: u8,
}

/// Counts a request against its upstream for as long as it lives.
///
/// A request ends in many ways, a caller that leaves among them; only a count that falls when
/// the request is dropped stays right through all of them.
pub struct InFlight {
    upstream: Rc<Upstream>,
    tokens: Cell<f64>,
    work: Work,
    has_head: Cell<bool>,
}

impl InFlight {
    /// A request that brings this work is about to be sent.
    pub fn begin(upstream: &Rc<Upstream>, now_ms: u64, work: Work) -> Self {
        if upstream.verdict(now_ms) == HealthStatus::Probe {
            upstream.health.borrow_mut().start_probe();
        }
        upstream.in_flight.set(upstream.in_flight.get() + 1);
        if upstream.unanswered.get() == 0 {
            upstream.last_activity_ms.set(now_ms);
        }
        upstream.unanswered.set(upstream.unanswered.get() + 1);
        upstream
            .queue
            .borrow_mut()
            .add(work.rank, work.prefill_tokens);
        upstream
            .context_tokens
            .set(upstream.context_tokens.get() + work.context_tokens);
        Self {
            upstream: Rc::clone(upstream),
            tokens: Cell::new(work.prefill_tokens),
            work,
            has_head: Cell::new(false),
        }
    }

    /// Work of the request that is still to be read.
    pub fn remaining_tokens(&self) -> f64 {
        self.tokens.get()
    }

    /// The upstream that has the request.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// The answer's head has come.
    pub fn note_head(&self, now_ms: u64) {
        self.upstream.note_activity(now_ms);
        if !self.has_head.replace(true) {
            let unanswered = self.upstream.unanswered.get();
            self.upstream.unanswered.set(unanswered.saturating_sub(1));
        }
    }

    /// The prompt has been read.
    pub fn note_prefilled(&self) {
        let read = self.tokens.take();
        self.upstream.queue.borrow_mut().add(self.work.rank, -read);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_prefilled();
        if !self.has_head.get() {
            let now_ms = self.upstream.clock.now_ms();
            if self.upstream.is_silent(now_ms) {
                // The silence must not be forgotten with the last request that waited in it.
                self.upstream.note_unreachable(now_ms);
            }
            let unanswered = self.upstream.unanswered.get();
            self.upstream.unanswered.set(unanswered.saturating_sub(1));
        }
        let context = self.upstream.context_tokens.get() - self.work.context_tokens;
        self.upstream.context_tokens.set(context.max(0.0));
        let count = self.upstream.in_flight.get();
        self.upstream.in_flight.set(count.saturating_sub(1));
    }
}
