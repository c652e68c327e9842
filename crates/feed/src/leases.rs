//! Leases over groups of engines, and the last order to each engine.

use std::collections::BTreeMap;

use wire::{LeaseClaimed, LeaseRef, LeaseState, OrderPlaced, OrderSettled, OrderState, Origin};

use crate::Outcome;

/// Leases by group and orders by engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Leases {
    pub(crate) leases: BTreeMap<String, LeaseState>,
    pub(crate) orders: BTreeMap<String, OrderState>,
}

impl Leases {
    /// Grants a claim that supersedes the newest record of the lease.
    ///
    /// The log has no conditional append. Instead, every reader compares the superseded offset: of
    /// two concurrent claims, or of a concurrent claim and renewal, only the first in the log
    /// supersedes the newest record.
    pub(crate) fn claim(&mut self, offset: u64, origin: &Origin, claim: &LeaseClaimed) -> Outcome {
        let newest = self
            .leases
            .get(&claim.group)
            .map_or(0, |lease| lease.last_offset);
        if claim.supersedes != newest {
            return Outcome::Refused(format!("the newest record of the lease is at {newest}"));
        }
        let lease = LeaseState {
            group: claim.group.clone(),
            holder: origin.writer.clone(),
            incarnation: origin.incarnation,
            fencing_token: offset,
            last_offset: offset,
            sequence: origin.sequence,
            ttl_ms: claim.ttl_ms,
            released: false,
        };
        self.leases.insert(claim.group.clone(), lease);
        Outcome::Accepted
    }

    pub(crate) fn renew(&mut self, offset: u64, origin: &Origin, lease: &LeaseRef) -> Outcome {
        match self.check_holder(origin, &lease.group, lease.fencing_token) {
            Ok(state) => {
                state.last_offset = offset;
                state.sequence = origin.sequence;
                Outcome::Accepted
            }
            Err(outcome) => outcome,
        }
    }

    pub(crate) fn release(&mut self, offset: u64, origin: &Origin, lease: &LeaseRef) -> Outcome {
        match self.check_holder(origin, &lease.group, lease.fencing_token) {
            Ok(state) => {
                state.last_offset = offset;
                state.sequence = origin.sequence;
                state.released = true;
                Outcome::Accepted
            }
            Err(outcome) => outcome,
        }
    }

    /// Accepts an order under the current lease, with at most one open order per engine.
    pub(crate) fn place(&mut self, offset: u64, origin: &Origin, order: &OrderPlaced) -> Outcome {
        if let Err(outcome) = self.check_holder(origin, &order.group, order.fencing_token) {
            return outcome;
        }
        let open = self.orders.get(&order.engine).filter(|open| !open.settled);
        if let Some(open) = open {
            return Outcome::Refused(format!("order {} is open", open.offset));
        }
        let state = OrderState {
            placed: order.clone(),
            offset,
            settled: false,
            done: false,
        };
        self.orders.insert(order.engine.clone(), state);
        Outcome::Accepted
    }

    pub(crate) fn settle(&mut self, origin: &Origin, settled: &OrderSettled) -> Outcome {
        let Some(order) = self.orders.get(&settled.engine) else {
            return Outcome::Refused("no order".to_owned());
        };
        if order.offset != settled.order || order.settled {
            return Outcome::Refused(format!("the newest order is {}", order.offset));
        }
        let group = order.placed.group.clone();
        let fence = self
            .leases
            .get(&group)
            .map_or(0, |lease| lease.fencing_token);
        if let Err(outcome) = self.check_holder(origin, &group, fence) {
            return outcome;
        }
        if let Some(order) = self.orders.get_mut(&settled.engine) {
            order.settled = true;
            order.done = settled.done;
        }
        Outcome::Accepted
    }

    fn check_holder(
        &mut self,
        origin: &Origin,
        group: &str,
        fence: u64,
    ) -> Result<&mut LeaseState, Outcome> {
        let Some(lease) = self.leases.get_mut(group) else {
            return Err(Outcome::Refused("no lease".to_owned()));
        };
        let is_holder = lease.holder == origin.writer && lease.incarnation == origin.incarnation;
        if !is_holder || lease.fencing_token != fence || lease.released {
            return Err(Outcome::Refused(format!(
                "the lease is {}'s since {}",
                lease.holder, lease.fencing_token
            )));
        }
        Ok(lease)
    }
}
