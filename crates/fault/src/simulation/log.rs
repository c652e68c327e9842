//! Log appends and reads of an instance, and its catch-up from peers.

use feed::AppliedRecord;
use rand::Rng;
use wire::Body;

use super::{
    Delivery, INSTANCES, LOG_TIMEOUT_MS, Message, ONE_WAY_DELAY_MS, READ_INTERVAL_MS, Simulation,
};
use crate::instance::GROUP;
use crate::{DisabledSafeguard, Invariant};

impl Simulation {
    pub(super) fn flush_outbox(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        if let Some(until_ms) = instance.append_until_ms {
            if now_ms >= until_ms {
                instance.append_until_ms = None;
                instance.outbox.requeue_batch();
            }
            return;
        }
        let clock_ms = instance.clock_ms(now_ms);
        let Some(records) = instance.outbox.next_batch(clock_ms) else {
            return;
        };
        instance.append_until_ms = Some(now_ms + LOG_TIMEOUT_MS);
        if !instance.can_reach_log(now_ms) {
            return;
        }
        let (incarnation, slow_ms) = (instance.incarnation, self.log.slow_ms);
        let delivery = Delivery::ToLog {
            index,
            incarnation,
            records,
            answered: !self.log.loses_answers,
        };
        self.deliveries
            .push((now_ms + ONE_WAY_DELAY_MS + slow_ms, delivery));
    }

    pub(super) fn read_log(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[index];
        if now_ms < instance.next_read_ms {
            return;
        }
        if instance.reading {
            instance.reading = false;
            self.catch_up_from_peer(index);
            return;
        }
        instance.next_read_ms = now_ms + LOG_TIMEOUT_MS;
        instance.reading = true;
        if !instance.can_reach_log(now_ms) {
            return;
        }
        let from = instance.log_reader.read_offset();
        if self.log.down {
            self.send_later(2 * ONE_WAY_DELAY_MS, index, Message::ReadFailed);
            return;
        }
        let page = self.log.read(from);
        let delay_ms = 2 * ONE_WAY_DELAY_MS + self.log.slow_ms;
        self.send_later(delay_ms, index, Message::Page(page));
    }

    pub(super) fn catch_up_from_peer(&mut self, index: usize) {
        self.instances[index].next_read_ms = self.now_ms + READ_INTERVAL_MS;
        let peer = (index + 1 + self.rng.random_range(0..INSTANCES - 1)) % INSTANCES;
        if !self.can_exchange(index, peer) || !self.instances[peer].is_running(self.now_ms) {
            return;
        }
        let from = self.instances[index].log_reader.state().next_offset();
        let (records, next, snapshot) = {
            let peer_reader = &self.instances[peer].log_reader;
            (
                peer_reader.records_from(from),
                peer_reader.state().next_offset(),
                peer_reader.state().snapshot(),
            )
        };
        if self.disabled == DisabledSafeguard::OffsetOrder {
            let mut log_reader = feed::LogReader::default();
            log_reader.install_snapshot(snapshot);
            self.instances[index].log_reader = log_reader;
            self.after_apply(index, &[]);
            return;
        }
        let applied = if let Some(records) = records {
            self.instances[index]
                .log_reader
                .apply_peer_records(from, &records, next)
        } else {
            self.instances[index].log_reader.install_snapshot(snapshot);
            Vec::new()
        };
        self.after_apply(index, &applied);
        if self.instances[index]
            .log_reader
            .state()
            .in_force()
            .is_some()
        {
            self.instances[index].ready = true;
        }
    }

    /// Updates the instance after log records were applied, and checks that no bundle reverts.
    pub(super) fn after_apply(&mut self, index: usize, applied: &[AppliedRecord]) {
        let now_ms = self.now_ms;
        let clock_ms = self.instances[index].clock_ms(now_ms);
        let instance = &mut self.instances[index];
        let state = instance.log_reader.state();
        instance.elector.observe(clock_ms, state.lease(GROUP));
        let offset = state.in_force_offset();
        let previous_offset = std::mem::replace(&mut instance.in_force_offset, offset);
        let drained = state.is_drained("engine-2");
        for applied_record in applied {
            let accepted = applied_record.outcome == feed::Outcome::Accepted;
            if let (Body::BundleRolled(bundle), true) = (&applied_record.record.body, accepted) {
                let newest = self.rolled.is_none_or(|rolled| rolled.0 < bundle.version);
                if newest {
                    self.rolled = Some((bundle.version, now_ms));
                }
            }
        }
        self.drained_known[index] = drained;
        if offset < previous_offset {
            let detail = format!("entry-{index} went from {previous_offset} to {offset}");
            self.violate(Invariant::NeverReverts, detail);
        }
    }
}
