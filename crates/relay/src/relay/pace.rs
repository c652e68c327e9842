//! Paces that upstreams report, and those that peers tell of.

use plan::{Pace, speed_class};
use view::GossipMessage;

use super::Relay;
use crate::upstream::Upstream;

impl Relay {
    /// Records the pace that an upstream reported with an answer, in percent; nonsense is counted.
    pub fn record_pace(&self, upstream: &Upstream, percent: f64) {
        if !self.settings.borrow().scheduling.pace.is_auto() {
            return;
        }
        let Some(pace) = Pace::from_percent(percent) else {
            self.metrics.pace.ignored.inc();
            return;
        };
        upstream.note_pace(self.now_ms(), pace);
        self.log_lasting_pace(upstream);
    }

    /// Applies the paces that a peer tells of, and passes them on.
    pub(super) fn apply_paces(&self, now_ms: u64, message: &GossipMessage) {
        if message.paces.is_empty() || !self.settings.borrow().scheduling.pace.is_auto() {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let mut gossip = self.gossip.borrow_mut();
        for report in &message.paces {
            if let Some(upstream) = upstreams.get_by_key(report.upstream) {
                gossip.forward_pace(now_ms, *report, message.kind);
                upstream.apply_pace_report(now_ms, report);
                self.log_lasting_pace(upstream);
            }
        }
    }

    /// Queues what this instance knows of paces for gossip.
    pub(super) fn gossip_paces(&self, now_ms: u64) {
        if !self.settings.borrow().scheduling.pace.is_auto() {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let mut gossip = self.gossip.borrow_mut();
        for upstream in upstreams.iter() {
            if let Some(report) = upstream.pace_report(now_ms) {
                gossip.add_pace(now_ms, report);
            }
        }
        gossip.retain_paces(|key| upstreams.get_by_key(key).is_some());
    }

    fn log_lasting_pace(&self, upstream: &Upstream) {
        let Some((pace, before)) = upstream.changed_lasting_pace() else {
            return;
        };
        if self.success_log_limit.take(self.now_ms()) {
            log::info!(
                upstream = upstream.id, service = upstream.service, zone = upstream.zone,
                pace_percent = pace.percent(), before_percent:? = before.map(Pace::percent);
                "lasting pace of an upstream changed"
            );
        }
    }

    /// Sets the gauges of how many upstreams of each service are fast, usual, slow or of unknown speed.
    pub(super) fn set_pace_gauges(&self) {
        let upstreams = self.upstreams.borrow();
        for service in upstreams.services() {
            let mut counts = [("fast", 0), ("usual", 0), ("slow", 0), ("unknown", 0)];
            for upstream in upstreams.of_service(&service) {
                let speed = match speed_class(upstream.lasting_factor()) {
                    _ if !upstream.reports_pace() => 3,
                    ..=-1 => 0,
                    0 => 1,
                    1.. => 2,
                };
                counts[speed].1 += 1;
            }
            for (speed, count) in counts {
                let labels = [service.as_str(), speed];
                self.metrics
                    .pace
                    .upstreams
                    .with_label_values(&labels)
                    .set(count);
            }
        }
    }
}
