//! Leases and orders of an instance.

use lease::{DesiredState, EngineReport, LeaseAction, OrderAction};
use wire::{Body, LeaseClaimed, LeaseRef, OrderKind};

use super::{Flight, QUIET_MS, TOO_EARLY_MS, WAY_MS, World};
use crate::instance::{GROUP, Leaving, TIMES};
use crate::{DisabledSafeguard, Invariant, Step};

impl World {
    pub(super) fn elect(&mut self, place: usize) {
        if !self.instances[place].ready || self.instances[place].stopping {
            return;
        }
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        let early_ms = if self.disabled == DisabledSafeguard::Wait {
            TOO_EARLY_MS
        } else {
            0
        };
        let instance = &mut self.instances[place];
        let holds = instance.elector.authority(clock_ms).is_some();
        let early_ms = if holds { 0 } else { early_ms };
        let action = instance.elector.poll(clock_ms + early_ms, place as u64);
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
        self.reach(step, place);
    }

    pub(super) fn authority(&self, place: usize) -> Option<lease::Authority> {
        let instance = &self.instances[place];
        let clock_ms = instance.clock_ms(self.now_ms);
        if self.disabled == DisabledSafeguard::ReadBack
            && let Some(claimed_ms) = instance.claimed_ms
            && clock_ms < claimed_ms + TIMES.ttl_ms
        {
            let fence = instance
                .cursor
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

    pub(super) fn command(&mut self, place: usize) {
        let Some(authority) = self.authority(place) else {
            return;
        };
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        let wishes = self.wishes(place);
        let report = |name: &str| {
            let engine = self.engines.iter().find(|engine| engine.name == name)?;
            Some(EngineReport {
                role: engine.role.clone(),
                loaded: engine.loaded.clone(),
                changing: engine.is_changing(),
                fencing_token: engine.highest,
            })
        };
        let instance = &mut self.instances[place];
        let open: Vec<_> = instance
            .cursor
            .state()
            .open_orders(GROUP)
            .cloned()
            .collect();
        let moves =
            instance
                .desk
                .next_actions(clock_ms, authority, GROUP, &wishes, open.iter(), report);
        let until_ms = clock_ms + TIMES.ttl_ms;
        for next in moves {
            let (body, step) = match next {
                OrderAction::Place(order) => (Body::OrderPlaced(order), Step::PlaceOrder),
                OrderAction::Settle(settled) => (Body::OrderSettled(settled), Step::SettleOrder),
                OrderAction::Send(send) => {
                    let fence = authority.fence;
                    self.instances[place].leaving.push(Leaving { send, fence });
                    self.reach(Step::SendOrder, place);
                    continue;
                }
            };
            self.instances[place]
                .outbox
                .push("entry", self.now_ms, body, Some(until_ms));
            self.reach(step, place);
        }
    }

    /// Each holder wants another role every two seconds, so that a stale order differs.
    pub(super) fn wishes(&mut self, place: usize) -> Vec<DesiredState> {
        if self.now_ms >= QUIET_MS {
            return Vec::new();
        }
        let turn = (self.now_ms / 2_000 + place as u64) % 3;
        let role = ["prefill", "decode", "mixed"][turn as usize];
        let drained = self.drained_known[place];
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

    /// Orders leave one step after they were decided, so that a pause can come in between.
    pub(super) fn flush_orders(&mut self, place: usize) {
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        for leaving in std::mem::take(&mut self.instances[place].leaving) {
            let lapsed = clock_ms >= leaving.send.expires_ms;
            if lapsed && self.disabled != DisabledSafeguard::Guard {
                continue;
            }
            if !self.instances[place].speaks(self.now_ms) {
                continue;
            }
            if leaving.fence < self.highest_fence {
                let detail = format!(
                    "entry-{place} sent under {} after {}",
                    leaving.fence, self.highest_fence
                );
                self.violate(Invariant::NoOrderWithoutAuthority, detail);
            }
            self.highest_fence = self.highest_fence.max(leaving.fence);
            let engine = self
                .engines
                .iter()
                .position(|engine| engine.name == leaving.send.engine);
            let flight = Flight::ToEngine {
                engine: engine.unwrap_or(0),
                order: leaving.send.fencing_token,
                kind: leaving.send.kind,
                argument: leaving.send.argument,
            };
            self.flights.push((self.now_ms + WAY_MS, flight));
        }
    }
}
