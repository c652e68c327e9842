//! An engine in virtual time.

use conf::Role;
use model::{Batch, Iteration, Job};
use plan::{EngineProfile, LoadReport};

/// A simulated engine, which iterates while it has work.
pub(crate) struct SimEngine {
    batch: Batch,
    in_progress: Option<Iteration>,
    slowdown: f64,
    pub(crate) alive: bool,
    pub(crate) drained: bool,
    /// Target of the role change in progress.
    pub(crate) changing_to: Option<Role>,
}

impl SimEngine {
    pub(crate) fn new(profile: EngineProfile, role: Role) -> Self {
        Self {
            batch: Batch::new(profile, role),
            in_progress: None,
            slowdown: 1.0,
            alive: true,
            drained: false,
            changing_to: None,
        }
    }

    pub(crate) fn role(&self) -> Role {
        self.batch.role()
    }

    /// Whether the engine accepts requests. A drained engine still does.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.alive && self.changing_to.is_none()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.in_progress.is_none() && self.batch.is_idle()
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.batch.push(job);
    }

    pub(crate) fn cancel(&mut self, id: u64) {
        self.batch.cancel(id);
    }

    pub(crate) fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Starts an iteration and returns its duration in ms; `None` if one is in progress, there is no
    /// work, or the engine has crashed.
    pub(crate) fn start_iteration(&mut self) -> Option<f64> {
        if !self.alive || self.in_progress.is_some() || self.batch.is_idle() {
            return None;
        }
        let iteration = self.batch.iterate();
        let duration_ms = iteration.duration_ms * self.slowdown;
        self.in_progress = Some(iteration);
        Some(duration_ms)
    }

    /// Ends the iteration in progress and returns its results.
    pub(crate) fn end_iteration(&mut self) -> Iteration {
        self.in_progress.take().unwrap_or_default()
    }

    pub(crate) fn crash(&mut self) {
        self.alive = false;
        self.batch.clear();
        self.in_progress = None;
    }

    pub(crate) fn finish_role_change(&mut self, role: Role) {
        self.batch.set_role(role);
        self.changing_to = None;
    }

    pub(crate) fn report(&self, now_ms: f64) -> LoadReport {
        LoadReport {
            at_ms: now_ms as u64,
            queued: self.batch.queued_tokens(),
            running: self.batch.running_sequences() as f64,
        }
    }
}
