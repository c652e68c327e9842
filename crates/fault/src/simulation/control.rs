//! Leases and engine orders of an instance.

use lease::{DesiredState, EngineReport, LeaseAction, OrderAction};
use wire::{Body, LeaseClaimed, LeaseRef, OrderKind};

use super::{Delivery, EARLY_CLAIM_MS, ONE_WAY_DELAY_MS, QUIET_FROM_MS, Simulation};
use crate::instance::{GROUP, QueuedOrder, TIMES};
use crate::{DisabledSafeguard, Invariant, Step};

impl Simulation {
    pub(super) fn poll_lease(&mut self, index: usize) {
        if !self.instances[index].ready || self.instances[index].stopping {
            return;
        }
        let clock_ms = self.instances[index].clock_ms(self.now_ms);
        let early_ms = if self.disabled == DisabledSafeguard::Wait {
            EARLY_CLAIM_MS
        } else {
            0
        };
        let instance = &mut self.instances[index];
        let holds = instance.elector.authority(clock_ms).is_some();
        let early_ms = if holds { 0 } else { early_ms };
        let action = instance.elector.poll(clock_ms + early_ms, index as u64);
        let group = GROUP.to_owned();
        let (body, step) = match action {
            LeaseAction::Wait => return,
            LeaseAction::Claim { supersedes } => {
                let ttl_ms = TIMES.ttl_ms;
                (
                    Body::LeaseClaimed(LeaseClaimed {
                        group,
                        supersedes,
                        ttl_ms,
                    }),
                    Step::ClaimLease,
                )
            }
            LeaseAction::Renew { fence } => (
                Body::LeaseRenewed(LeaseRef {
                    group,
                    fencing_token: fence,
                }),
                Step::RenewLease,
            ),
        };
        instance.claimed_ms = Some(clock_ms);
        let sequence =
            instance
                .outbox
                .push("entry", self.now_ms, body, Some(clock_ms + TIMES.ttl_ms));
        instance.elector.record_sent(clock_ms, sequence);
        self.reach_step(step, index);
    }

    pub(super) fn authority(&self, index: usize) -> Option<lease::Authority> {
        let instance = &self.instances[index];
        let clock_ms = instance.clock_ms(self.now_ms);
        if self.disabled == DisabledSafeguard::ReadBack
            && let Some(claimed_ms) = instance.claimed_ms
            && clock_ms < claimed_ms + TIMES.ttl_ms
        {
            let fence = instance
                .log_reader
                .state()
                .lease(GROUP)
                .map_or(0, |lease| lease.fencing_token);
            return Some(lease::Authority {
                fence: fence.max(1),
                expires_ms: claimed_ms + TIMES.ttl_ms,
            });
        }
        instance.elector.authority(clock_ms)
    }

    pub(super) fn issue_orders(&mut self, index: usize) {
        let Some(authority) = self.authority(index) else {
            return;
        };
        let clock_ms = self.instances[index].clock_ms(self.now_ms);
        let desired = self.desired_states(index);
        let report = |name: &str| {
            let engine = self.engines.iter().find(|engine| engine.name == name)?;
            Some(EngineReport {
                role: engine.role.clone(),
                loaded: engine.loaded.clone(),
                changing: engine.is_changing(),
                fencing_token: engine.highest_token,
            })
        };
        let instance = &mut self.instances[index];
        let open: Vec<_> = instance
            .log_reader
            .state()
            .open_orders(GROUP)
            .cloned()
            .collect();
        let actions = instance.order_scheduler.next_actions(
            clock_ms,
            authority,
            GROUP,
            &desired,
            open.iter(),
            report,
        );
        let until_ms = clock_ms + TIMES.ttl_ms;
        for action in actions {
            let (body, step) = match action {
                OrderAction::Place(order) => (Body::OrderPlaced(order), Step::PlaceOrder),
                OrderAction::Settle(settled) => (Body::OrderSettled(settled), Step::SettleOrder),
                OrderAction::Send(order) => {
                    let fencing_token = authority.fence;
                    self.instances[index].queued_orders.push(QueuedOrder {
                        order,
                        fencing_token,
                    });
                    self.reach_step(Step::SendOrder, index);
                    continue;
                }
            };
            self.instances[index]
                .outbox
                .push("entry", self.now_ms, body, Some(until_ms));
            self.reach_step(step, index);
        }
    }

    /// Desired roles of all engines. They depend on the instance and change every two seconds, so
    /// that a stale order differs from the current one and shows up as a conflict.
    pub(super) fn desired_states(&mut self, index: usize) -> Vec<DesiredState> {
        if self.now_ms >= QUIET_FROM_MS {
            return Vec::new();
        }
        let turn = (self.now_ms / 2_000 + index as u64) % 3;
        let role = ["prefill", "decode", "mixed"][turn as usize];
        let drained = self.drained_known[index];
        let engines = self
            .engines
            .iter()
            .filter(|engine| !(drained && engine.name == "engine-2"));
        engines
            .map(|engine| DesiredState {
                engine: engine.name.clone(),
                kind: OrderKind::Role,
                argument: role.to_owned(),
            })
            .collect()
    }

    /// Sends the orders that were decided in the previous tick, so that a pause can occur between
    /// decision and sending.
    pub(super) fn send_orders(&mut self, index: usize) {
        let clock_ms = self.instances[index].clock_ms(self.now_ms);
        for queued in std::mem::take(&mut self.instances[index].queued_orders) {
            let has_expired = clock_ms >= queued.order.expires_ms;
            if has_expired && self.disabled != DisabledSafeguard::Guard {
                continue;
            }
            if !self.instances[index].can_send(self.now_ms) {
                continue;
            }
            if queued.fencing_token < self.highest_sent_token {
                let detail = format!(
                    "entry-{index} sent under {} after {}",
                    queued.fencing_token, self.highest_sent_token
                );
                self.violate(Invariant::NoOrderWithoutAuthority, detail);
            }
            self.highest_sent_token = self.highest_sent_token.max(queued.fencing_token);
            let engine = self
                .engines
                .iter()
                .position(|engine| engine.name == queued.order.engine);
            let delivery = Delivery::ToEngine {
                engine: engine.unwrap_or(0),
                order: queued.order.fencing_token,
                kind: queued.order.kind,
                argument: queued.order.argument,
            };
            self.deliveries
                .push((self.now_ms + ONE_WAY_DELAY_MS, delivery));
        }
    }
}
