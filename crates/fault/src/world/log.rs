//! What an instance writes to the log and reads from it, or from a peer.

use feed::AppliedRecord as Folded;
use rand::Rng;
use wire::Body;

use super::{Flight, INSTANCES, LOG_MS, Message, READ_MS, WAY_MS, World};
use crate::instance::GROUP;
use crate::{DisabledSafeguard, Invariant};

impl World {
    pub(super) fn append(&mut self, place: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[place];
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
        instance.append_until_ms = Some(now_ms + LOG_MS);
        if !instance.reaches_log(now_ms) {
            return;
        }
        let (incarnation, slow_ms) = (instance.incarnation, self.log.slow_ms);
        let flight = Flight::ToLog {
            place,
            incarnation,
            records,
            answered: !self.log.loses_answers,
        };
        self.flights.push((now_ms + WAY_MS + slow_ms, flight));
    }

    pub(super) fn read(&mut self, place: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[place];
        if now_ms < instance.read_at_ms {
            return;
        }
        if instance.reading {
            instance.reading = false;
            self.learn_from_peer(place);
            return;
        }
        instance.read_at_ms = now_ms + LOG_MS;
        instance.reading = true;
        if !instance.reaches_log(now_ms) {
            return;
        }
        let from = instance.cursor.read_offset();
        if self.log.down {
            self.send_later(2 * WAY_MS, place, Message::ReadFailed);
            return;
        }
        let page = self.log.read(from);
        let delay_ms = 2 * WAY_MS + self.log.slow_ms;
        self.send_later(delay_ms, place, Message::Page(page));
    }

    pub(super) fn learn_from_peer(&mut self, place: usize) {
        self.instances[place].read_at_ms = self.now_ms + READ_MS;
        let other = (place + 1 + self.rng.random_range(0..INSTANCES - 1)) % INSTANCES;
        if !self.connected(place, other) || !self.instances[other].acts(self.now_ms) {
            return;
        }
        let from = self.instances[place].cursor.state().next_offset();
        let (tail, next, snapshot) = {
            let theirs = &self.instances[other].cursor;
            (
                theirs.records_from(from),
                theirs.state().next_offset(),
                theirs.state().snapshot(),
            )
        };
        if self.disabled == DisabledSafeguard::OffsetOrder {
            let mut cursor = feed::LogReader::default();
            cursor.install_snapshot(snapshot);
            self.instances[place].cursor = cursor;
            self.folded(place, &[]);
            return;
        }
        let steps = if let Some(entries) = tail {
            self.instances[place]
                .cursor
                .apply_peer_records(from, &entries, next)
        } else {
            self.instances[place].cursor.install_snapshot(snapshot);
            Vec::new()
        };
        self.folded(place, &steps);
        if self.instances[place].cursor.state().in_force().is_some() {
            self.instances[place].ready = true;
        }
    }

    /// Looks at what changed after records were folded in.
    pub(super) fn folded(&mut self, place: usize, steps: &[Folded]) {
        let now_ms = self.now_ms;
        let clock_ms = self.instances[place].clock_ms(now_ms);
        let instance = &mut self.instances[place];
        let state = instance.cursor.state();
        instance.elector.observe(clock_ms, state.lease(GROUP));
        let offset = state.in_force_offset();
        let before = std::mem::replace(&mut instance.in_force_offset, offset);
        let drained = state.is_drained("engine-2");
        for step in steps {
            let accepted = step.outcome == feed::Outcome::Accepted;
            if let (Body::BundleRolled(bundle), true) = (&step.record.body, accepted) {
                let newest = self.rolled.is_none_or(|rolled| rolled.0 < bundle.version);
                if newest {
                    self.rolled = Some((bundle.version, now_ms));
                }
            }
        }
        self.drained_known[place] = drained;
        if offset < before {
            let detail = format!("entry-{place} went from {before} to {offset}");
            self.violate(Invariant::NeverReverts, detail);
        }
    }
}
