//! Scripted actions of operators, and snapshots.

use wire::{Body, LeaseRef};

use super::{INSTANCES, OperatorAction, Simulation, bundle_ref, publication};
use crate::Step;
use crate::instance::{GROUP, Instance};

impl Simulation {
    pub(super) fn run_operator_actions(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<OperatorAction> = self
            .operator_actions
            .extract_if(.., |action| action.0 <= now_ms)
            .map(|action| action.1)
            .collect();
        for action in due {
            match action {
                OperatorAction::Stop => {
                    // Stops the lease holder, if there is one, so that a lease is released.
                    let holder = (0..INSTANCES).find(|&index| self.authority(index).is_some());
                    self.stop_instance(holder.unwrap_or(2));
                }
                OperatorAction::Restart => {
                    let stopping = self.instances.iter().position(|instance| instance.stopping);
                    if let Some(index) = stopping {
                        self.kill(index);
                    }
                }
                _ => self.submit_action(action),
            }
        }
    }

    /// Submits an action at the first instance in service, or retries it 200 ms later if there is
    /// none.
    pub(super) fn submit_action(&mut self, action: OperatorAction) {
        let serving = |instance: &Instance| {
            instance.ready && instance.is_running(self.now_ms) && !instance.stopping
        };
        let Some(index) = self.instances.iter().position(serving) else {
            self.operator_actions.push((self.now_ms + 200, action));
            return;
        };
        let (body, step) = match action {
            OperatorAction::Publish(version, text) => (publication(version, text), Step::Publish),
            OperatorAction::Sign(version, text) => {
                (Body::BundleSigned(bundle_ref(version, text)), Step::Sign)
            }
            OperatorAction::Roll(version, text) => {
                (Body::BundleRolled(bundle_ref(version, text)), Step::Roll)
            }
            OperatorAction::Withdraw(version, text) => (
                Body::BundleWithdrawn(bundle_ref(version, text)),
                Step::Withdraw,
            ),
            OperatorAction::Drain | OperatorAction::Stop | OperatorAction::Restart => {
                (Body::EngineDrained("engine-2".to_owned()), Step::Drain)
            }
        };
        self.instances[index]
            .outbox
            .push("operator", self.now_ms, body, None);
        self.reach_step(step, index);
    }

    pub(super) fn publish_rival_bundle(&mut self, index: usize) {
        let other = (index + 1) % self.instances.len();
        let version = if self.now_ms < 5_000 { 1 } else { 2 };
        for body in [
            publication(version, 2),
            Body::BundleSigned(bundle_ref(version, 2)),
            Body::BundleRolled(bundle_ref(version, 2)),
        ] {
            self.instances[other]
                .outbox
                .push("rival", self.now_ms, body, None);
        }
    }

    pub(super) fn stop_instance(&mut self, index: usize) {
        self.instances[index].stopping = true;
        self.reach_step(Step::Stop, index);
        let now_ms = self.instances[index].clock_ms(self.now_ms);
        if let Some(fence) = self.instances[index].elector.resign(now_ms) {
            let group = GROUP.to_owned();
            let body = Body::LeaseReleased(LeaseRef {
                group,
                fencing_token: fence,
            });
            self.instances[index]
                .outbox
                .push("entry", self.now_ms, body, None);
            self.reach_step(Step::ReleaseLease, index);
        }
    }

    pub(super) fn write_snapshot(&mut self, index: usize) {
        let state = self.instances[index].log_reader.state().snapshot();
        let mut writer = feed::Outbox::new("snapshot", self.now_ms);
        writer.push("entry", self.now_ms, Body::Snapshot(Box::new(state)), None);
        if let Some(records) = writer.next_batch(0) {
            self.log.append(records);
        }
    }
}
