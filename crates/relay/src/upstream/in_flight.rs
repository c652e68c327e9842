//! Accounting of the load that a request puts on an upstream for as long as it is in flight.

use std::cell::Cell;
use std::rc::Rc;

use plan::HealthStatus;

use super::Upstream;

/// Load that a request puts on an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Work {
    /// Prefill work, in tokens.
    pub prefill_tokens: f64,
    /// Length of the prompt from which the upstream will decode, in tokens.
    pub context_tokens: f64,
    /// Rank in the upstream's prefill queue, 0 first.
    pub rank: u8,
}

/// Guard that counts a request against its upstream until it is dropped.
///
/// A request can end in many ways, for example when its caller disconnects. Only a count that is
/// released on drop stays correct through all of them.
pub struct InFlight {
    upstream: Rc<Upstream>,
    tokens: Cell<f64>,
    work: Work,
    has_head: Cell<bool>,
    is_probe: bool,
}

impl InFlight {
    /// Counts a request that is about to be sent.
    pub fn begin(upstream: &Rc<Upstream>, now_ms: u64, work: Work) -> Self {
        let is_probe = upstream.health_status(now_ms) == HealthStatus::Probe;
        if is_probe {
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
            is_probe,
        }
    }

    /// Records that the answer was predicted to come within `predicted_ms` at a time factor.
    ///
    /// Only the lasting part of the factor explains a silence. Otherwise each request to a silent upstream, whose
    /// predicted time grows with the silence, would explain more of it.
    pub fn expect_answer(&self, predicted_ms: f64, time_factor: f64) {
        let lasting = self.upstream.lasting_factor();
        self.upstream
            .expect_answer(predicted_ms / time_factor * lasting);
    }

    /// Prefill work of the request that is not known to be complete, in tokens.
    pub fn remaining_tokens(&self) -> f64 {
        self.tokens.get()
    }

    /// The upstream that has the request.
    pub fn upstream(&self) -> &Rc<Upstream> {
        &self.upstream
    }

    /// Records that the head of the answer has arrived.
    pub fn note_head(&self, now_ms: u64) {
        self.upstream.note_activity(now_ms);
        if !self.has_head.replace(true) {
            let unanswered = self.upstream.unanswered.get();
            self.upstream.unanswered.set(unanswered.saturating_sub(1));
        }
    }

    /// Records that the prefill is complete.
    pub fn note_prefilled(&self) {
        let prefilled = self.tokens.take();
        self.upstream
            .queue
            .borrow_mut()
            .add(self.work.rank, -prefilled);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.note_prefilled();
        if !self.has_head.get() {
            let now_ms = self.upstream.clock.now_ms();
            if self.upstream.is_silent(now_ms) {
                // With its last waiting request gone the upstream no longer counts as silent, so
                // the failure has to be recorded in its health.
                self.upstream.note_unreachable(now_ms);
            }
            let unanswered = self.upstream.unanswered.get();
            self.upstream.unanswered.set(unanswered.saturating_sub(1));
        }
        if self.is_probe {
            let now_ms = self.upstream.clock.now_ms();
            self.upstream.health.borrow_mut().abandon_probe(now_ms);
        }
        let context = self.upstream.context_tokens.get() - self.work.context_tokens;
        self.upstream.context_tokens.set(context.max(0.0));
        let count = self.upstream.in_flight.get();
        self.upstream.in_flight.set(count.saturating_sub(1));
        self.upstream.note_place_freed();
    }
}
