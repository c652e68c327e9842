//! One engine in virtual time.

use conf::Role;
use model::{Batch, Iteration, Job};
use plan::{EngineProfile, LoadReport};

/// An engine that iterates while it has work.
pub(crate) struct SimEngine {
    batch: Batch,
    under_way: Option<Iteration>,
    slow: f64,
    pub(crate) alive: bool,
    pub(crate) drained: bool,
    /// The role it is changing to.
    pub(crate) changing: Option<Role>,
}

impl SimEngine {
    pub(crate) fn new(shape: EngineProfile, role: Role) -> Self {
        Self {
            batch: Batch::new(shape, role),
            under_way: None,
            slow: 1.0,
            alive: true,
            drained: false,
            changing: None,
        }
    }

    pub(crate) fn role(&self) -> Role {
        self.batch.role()
    }

    /// Whether it takes new work; a drained engine that is asked all the same still does.
    pub(crate) fn takes(&self) -> bool {
        self.alive && self.changing.is_none()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.under_way.is_none() && self.batch.is_idle()
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.batch.push(job);
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        self.batch.cancel(id);
    }

    pub(crate) fn set_slow(&mut self, factor: f64) {
        self.slow = factor;
    }

    /// Begins an iteration if none is under way and there is work; gives its length.
    pub(crate) fn begin(&mut self) -> Option<f64> {
        if !self.alive || self.under_way.is_some() || self.batch.is_idle() {
            return None;
        }
        let iteration = self.batch.iterate();
        let ms = iteration.duration_ms * self.slow;
        self.under_way = Some(iteration);
        Some(ms)
    }

    /// Ends the iteration under way.
    pub(crate) fn end(&mut self) -> Iteration {
        self.under_way.take().unwrap_or_default()
    }

    pub(crate) fn crash(&mut self) {
        self.alive = false;
        self.batch.clear();
        self.under_way = None;
    }

    pub(crate) fn become_role(&mut self, role: Role) {
        self.batch.set_role(role);
        self.changing = None;
    }

    pub(crate) fn report(&self, now_ms: f64) -> LoadReport {
        LoadReport {
            at_ms: now_ms as u64,
            queued: self.batch.queued_tokens(),
            running: self.batch.running_sequences() as f64,
        }
    }
}
