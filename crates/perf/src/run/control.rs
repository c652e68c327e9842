//! Engine events and role changes.

use conf::Role;
use plan::{EngineProfile, Presence};

use super::{PLAN_INTERVAL_MS, PRESENCE_DELAY_MS, Sim, SimEvent};
use crate::trace::{EngineEvent, LENGTH_MS};
use crate::{Policy, greedy};

impl Sim<'_> {
    pub(super) fn apply_engine_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Crash(engine) => self.crash(engine),
            EngineEvent::Drain(engine) => {
                self.engines[engine].drained = true;
                self.announce_presence(engine, Presence::Leaving);
            }
            EngineEvent::Slow(engine, factor) => self.engines[engine].set_slowdown(factor),
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        self.engines[engine].crash();
        self.crash_counts[engine] += 1;
        self.announce_presence(engine, Presence::Gone);
        for request in 0..self.requests.len() {
            let state = &self.requests[request];
            if state.engine == Some(engine) && !state.ended {
                self.handle_failure(request, true);
            }
        }
    }

    pub(super) fn announce_presence(&mut self, engine: usize, presence: Presence) {
        let role = self.engines[engine].role();
        self.event_queue.add(
            self.now_ms + PRESENCE_DELAY_MS,
            SimEvent::PresenceChange {
                engine,
                presence,
                role,
            },
        );
    }

    /// Plans the roles of the engines in each availability zone, as the zone's lease holder would.
    pub(super) fn plan_roles(&mut self) {
        if self.now_ms > LENGTH_MS {
            return;
        }
        self.event_queue
            .add(self.now_ms + PLAN_INTERVAL_MS, SimEvent::PlanRoles);
        for group in 0..self.planners.len() {
            let holder = group % self.instances.len();
            let engines: Vec<usize> = (0..self.engines.len())
                .filter(|engine| engine % 3 == group)
                .collect();
            let share = engines.len() as f64 / self.engines.len() as f64;
            let forecast = self.total_forecast(holder).scaled(share);
            let fleet = &self.instances[holder].fleet;
            let now_ms = self.now_ms as u64;
            let changes = if self.settings.policy == Policy::GreedyRoles {
                greedy::plan(fleet, &engines, &forecast)
            } else {
                self.planners[group].plan(now_ms, fleet, &engines, &forecast, |_, _| true)
            };
            for change in changes {
                self.order_role_change(change.engine, change.role);
            }
        }
    }

    pub(super) fn order_role_change(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].accepts_requests() {
            return;
        }
        self.engines[engine].changing_to = Some(role);
        self.role_change_started_ms.insert(engine, self.now_ms);
        self.recorder.record_role_change(self.now_ms);
        let current_role = self.engines[engine].role();
        for instance in &mut self.instances {
            let engine_view = instance.fleet.get_mut(engine);
            engine_view.presence = Presence::Changing;
            engine_view.role = current_role;
        }
        self.start_pending_role_change(engine);
    }

    /// Starts a role change that was ordered, once the engine has finished its requests.
    pub(super) fn start_pending_role_change(&mut self, engine: usize) {
        let Some(role) = self.engines[engine].changing_to else {
            return;
        };
        if self.engines[engine].is_idle() && self.role_change_started_ms.contains_key(&engine) {
            let started_ms = self
                .role_change_started_ms
                .remove(&engine)
                .unwrap_or(self.now_ms);
            let change_ms = EngineProfile::default().change_ms as f64;
            self.recorder.figures.role_change_s += (self.now_ms - started_ms + change_ms) / 1_000.0;
            self.event_queue.add(
                self.now_ms + change_ms,
                SimEvent::RoleChanged { engine, role },
            );
        }
    }

    pub(super) fn finish_role_change(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].alive {
            return;
        }
        self.engines[engine].finish_role_change(role);
        let presence = if self.engines[engine].drained {
            Presence::Leaving
        } else {
            Presence::Live
        };
        for instance in &mut self.instances {
            let engine_view = instance.fleet.get_mut(engine);
            engine_view.presence = presence;
            engine_view.role = role;
        }
    }
}
