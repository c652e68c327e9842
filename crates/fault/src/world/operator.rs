//! What operators do.

use wire::{Body, LeaseRef};

use super::{Deed, INSTANCES, World, named, publish};
use crate::Step;
use crate::instance::{GROUP, Instance};

impl World {
    pub(super) fn act_as_operator(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Deed> = self
            .deeds
            .extract_if(.., |deed| deed.0 <= now_ms)
            .map(|deed| deed.1)
            .collect();
        for deed in due {
            match deed {
                Deed::Stop => {
                    // The holder, if there is one, so that a lease is given up.
                    let holder = (0..INSTANCES).find(|&place| self.authority(place).is_some());
                    self.stop(holder.unwrap_or(2));
                }
                Deed::StartAgain => {
                    let stopping = self.instances.iter().position(|instance| instance.stopping);
                    if let Some(place) = stopping {
                        self.kill(place);
                    }
                }
                _ => self.write_deed(deed),
            }
        }
    }

    /// An operator asks the first instance that serves; without one, asks again a little later.
    pub(super) fn write_deed(&mut self, deed: Deed) {
        let serving = |instance: &Instance| {
            instance.ready && instance.acts(self.now_ms) && !instance.stopping
        };
        let Some(place) = self.instances.iter().position(serving) else {
            self.deeds.push((self.now_ms + 200, deed));
            return;
        };
        let (body, step) = match deed {
            Deed::Publish(version, text) => (publish(version, text), Step::Publish),
            Deed::Sign(version, text) => (Body::BundleSigned(named(version, text)), Step::Sign),
            Deed::Roll(version, text) => (Body::BundleRolled(named(version, text)), Step::Roll),
            Deed::Withdraw(version, text) => {
                (Body::BundleWithdrawn(named(version, text)), Step::Withdraw)
            }
            Deed::Drain | Deed::Stop | Deed::StartAgain => {
                (Body::EngineDrained("engine-2".to_owned()), Step::Drain)
            }
        };
        self.instances[place]
            .outbox
            .push("operator", self.now_ms, body, None);
        self.reach(step, place);
    }

    pub(super) fn race(&mut self, place: usize) {
        let other = (place + 1) % self.instances.len();
        let version = if self.now_ms < 5_000 { 1 } else { 2 };
        for body in [
            publish(version, 2),
            Body::BundleSigned(named(version, 2)),
            Body::BundleRolled(named(version, 2)),
        ] {
            self.instances[other]
                .outbox
                .push("rival", self.now_ms, body, None);
        }
    }

    pub(super) fn stop(&mut self, place: usize) {
        self.instances[place].stopping = true;
        self.reach(Step::Stop, place);
        let now_ms = self.instances[place].clock_ms(self.now_ms);
        if let Some(fence) = self.instances[place].elector.resign(now_ms) {
            let group = GROUP.to_owned();
            let body = Body::LeaseReleased(LeaseRef {
                group,
                fencing_token: fence,
            });
            self.instances[place]
                .outbox
                .push("entry", self.now_ms, body, None);
            self.reach(Step::ReleaseLease, place);
        }
    }

    pub(super) fn snapshot(&mut self, place: usize) {
        let state = self.instances[place].cursor.state().snapshot();
        let mut writer = feed::Outbox::new("snapshot", self.now_ms);
        writer.push("entry", self.now_ms, Body::Snapshot(Box::new(state)), None);
        if let Some(records) = writer.next_batch(0) {
            self.log.append(records);
        }
    }
}
