//! Keeps the shares of workspaces up to date.

use std::rc::Rc;

use plan::HealthStatus;
use plan::shares::RoomSample;

use super::Relay;
use crate::config::Access;
use crate::upstream::{Stage, Upstream};

impl Relay {
    /// Whether engine time is shared among workspaces.
    pub fn shares_engine_time(&self) -> bool {
        let is_auto = self.settings.borrow().scheduling.shares.is_auto();
        let config = self.config.borrow();
        let is_keyed = |access: &Access| matches!(access, Access::Keyed { .. });
        is_auto && config.as_ref().is_some_and(|it| is_keyed(&it.access))
    }

    /// Computes levels and room anew if that is due.
    pub(crate) fn update_shares(&self) {
        let now_ms = self.now_ms();
        let Some(config) = self.config().filter(|_| self.shares_engine_time()) else {
            return;
        };
        if !self.shares.take_update(now_ms) {
            return;
        }
        let fleet_ms = self.singleton_tasks.fleet_ms();
        self.shares
            .update_levels(fleet_ms, config.version, &config.access);
        let has_engines = |service: &str| {
            let service = config.service(service);
            service.is_some_and(|service| service.engine.is_some())
        };
        self.shares.retain_rooms(has_engines);
        for service in config.services().keys().filter(|it| has_engines(it)) {
            let sample = self.room(now_ms, service);
            self.shares.observe_room(now_ms, service, sample);
        }
    }

    /// Load of the engines of a service that decode and may be used.
    fn room(&self, now_ms: u64, service: &str) -> RoomSample {
        let upstreams = self.upstreams.borrow();
        let is_usable = |each: &&Rc<Upstream>| {
            each.stage() != Stage::Prefill
                && !each.is_changing_role(now_ms)
                && each.rest_left_ms(now_ms) == 0
                && each.health_status(now_ms) != HealthStatus::Ejected
        };
        let mut sample = RoomSample::default();
        for engine in upstreams.ready(service, now_ms).filter(is_usable) {
            let (load, slots) = (engine.load(now_ms), f64::from(engine.slots));
            sample.engines += 1;
            sample.full += usize::from(load >= slots);
            sample.requests += load;
            sample.slots += slots;
        }
        sample
    }

    /// Sets the gauges of use, share and refusals.
    pub(super) fn set_share_gauges(&self) {
        if !self.shares_engine_time() {
            return;
        }
        self.update_shares();
        let metrics = &self.metrics.shares;
        metrics.clear();
        for figures in self.shares.figures() {
            let labels = [figures.workspace.as_str()];
            let used = metrics.used_engines.with_label_values(&labels);
            used.set(figures.used_engines);
            let share = metrics.share_engines.with_label_values(&labels);
            share.set(figures.share_engines);
            let refused = metrics.refused.with_label_values(&labels);
            refused.set(figures.refused.cast_signed());
        }
        let is_short = self.shares.is_any_short();
        metrics.is_short.set(i64::from(is_short));
    }
}
