//! What happens to engines, and their roles.

use conf::Role;
use plan::{EngineProfile, Presence};

use super::{NOTICE_MS, PLAN_MS, Sim, Step};
use crate::trace::{Event, LENGTH_MS};
use crate::{Policy, greedy};

impl Sim<'_> {
    pub(super) fn happens(&mut self, event: Event) {
        match event {
            Event::Crash(engine) => self.crash(engine),
            Event::Drain(engine) => {
                self.engines[engine].drained = true;
                self.notice(engine, Presence::Leaving);
            }
            Event::Slow(engine, factor) => self.engines[engine].set_slow(factor),
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        self.engines[engine].crash();
        self.lives[engine] += 1;
        self.notice(engine, Presence::Gone);
        for request in 0..self.requests.len() {
            let progress = &self.requests[request];
            if progress.engine == Some(engine) && !progress.over {
                self.fail(request, true);
            }
        }
    }

    pub(super) fn notice(&mut self, engine: usize, presence: Presence) {
        let role = self.engines[engine].role();
        self.calendar.add(
            self.now_ms + NOTICE_MS,
            Step::Notice {
                engine,
                presence,
                role,
            },
        );
    }

    /// Plans the roles of each availability zone's group, as its lease holder would.
    pub(super) fn plan(&mut self) {
        if self.now_ms > LENGTH_MS {
            return;
        }
        self.calendar.add(self.now_ms + PLAN_MS, Step::Plan);
        for group in 0..self.planners.len() {
            let holder = group % self.nodes.len();
            let engines: Vec<usize> = (0..self.engines.len())
                .filter(|engine| engine % 3 == group)
                .collect();
            let share = engines.len() as f64 / self.engines.len() as f64;
            let forecast = self.total_forecast(holder).scaled(share);
            let fleet = &self.nodes[holder].fleet;
            let now_ms = self.now_ms as u64;
            let changes = if self.setting.policy == Policy::GreedyRoles {
                greedy::plan(fleet, &engines, &forecast)
            } else {
                self.planners[group].plan(now_ms, fleet, &engines, &forecast, |_, _| true)
            };
            for change in changes {
                self.order(change.engine, change.role);
            }
        }
    }

    pub(super) fn order(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].takes() {
            return;
        }
        self.engines[engine].changing = Some(role);
        self.change_began_ms.insert(engine, self.now_ms);
        self.counter.role_changed(self.now_ms);
        let current = self.engines[engine].role();
        for node in &mut self.nodes {
            let known = node.fleet.get_mut(engine);
            known.presence = Presence::Changing;
            known.role = current;
        }
        self.maybe_change(engine);
    }

    /// An engine ends what it holds before it changes.
    pub(super) fn maybe_change(&mut self, engine: usize) {
        let Some(role) = self.engines[engine].changing else {
            return;
        };
        if self.engines[engine].is_idle() && self.change_began_ms.contains_key(&engine) {
            let began_ms = self.change_began_ms.remove(&engine).unwrap_or(self.now_ms);
            let change_ms = EngineProfile::default().change_ms as f64;
            self.counter.figures.lost_s += (self.now_ms - began_ms + change_ms) / 1_000.0;
            self.calendar
                .add(self.now_ms + change_ms, Step::Changed { engine, role });
        }
    }

    pub(super) fn changed(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].alive {
            return;
        }
        self.engines[engine].become_role(role);
        let presence = if self.engines[engine].drained {
            Presence::Leaving
        } else {
            Presence::Live
        };
        for node in &mut self.nodes {
            let known = node.fleet.get_mut(engine);
            known.presence = presence;
            known.role = role;
        }
    }
}
