//! Schedules orders to the engines of one group, with at most one open order per engine.

use std::collections::BTreeMap;

use wire::{OrderKind, OrderPlaced, OrderSettled, OrderState};

use crate::Authority;

/// Interval at which an unfinished order is resent.
const RESEND_MS: u64 = 1_000;

/// Time after which an unfinished order is abandoned, so that an engine that was unreachable can
/// get a new order. Longer than the longest role change or model load.
const ABANDON_AFTER_MS: u64 = 120_000;

/// State that an engine last reported.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Current role.
    pub role: String,
    /// Loaded models, as `model@version`.
    pub loaded: Vec<String>,
    /// Whether an order is being carried out.
    pub changing: bool,
    /// Highest fencing token of the orders that the engine has accepted.
    pub fencing_token: u64,
}

/// State that an engine should reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Name of the engine.
    pub engine: String,
    /// Kind of order that leads to this state.
    pub kind: OrderKind,
    /// Role for a role order, otherwise `model@version`.
    pub argument: String,
}

/// An order to send to its engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingOrder {
    /// Name of the engine.
    pub engine: String,
    /// Log offset of the order, used as its fencing token.
    pub fencing_token: u64,
    /// Kind of order.
    pub kind: OrderKind,
    /// Role for a role order, otherwise `model@version`.
    pub argument: String,
    /// Time on the sender's clock after which no byte of the order may be sent.
    pub expires_ms: u64,
}

/// Next step for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Append the record of an order. The order is sent only once the record was read back.
    Place(OrderPlaced),
    /// Send an order whose record was read back; also used to resend it.
    Send(OutgoingOrder),
    /// Append the record that closes an order.
    Settle(OrderSettled),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    order: u64,
    first_ms: u64,
    last_ms: u64,
}

/// Decides which orders to place, send and settle.
///
/// An order that is open in the log is resent, whichever instance placed it, until the engine
/// reports it done or it is abandoned. Only then is another order placed for that engine. A new
/// lease holder therefore never sends an order that conflicts with one that its predecessor may
/// still be sending.
#[derive(Debug, Default)]
pub struct OrderScheduler {
    attempts: BTreeMap<String, Attempt>,
    placed: BTreeMap<String, u64>,
}

impl OrderScheduler {
    /// Returns the next actions under a valid lease: first for open orders, then for unmet desired
    /// states.
    pub fn next_actions<'a>(
        &mut self,
        now_ms: u64,
        authority: Authority,
        group: &str,
        desired_states: &[DesiredState],
        orders: impl Iterator<Item = &'a OrderState>,
        report: impl Fn(&str) -> Option<EngineReport>,
    ) -> Vec<OrderAction> {
        let orders: BTreeMap<&str, &OrderState> = orders
            .map(|order| (order.placed.engine.as_str(), order))
            .collect();
        let mut actions = Vec::new();
        for (engine, order) in &orders {
            let reported = report(engine);
            actions.extend(self.advance(now_ms, authority, order, reported.as_ref()));
        }
        for desired in desired_states {
            if orders.contains_key(desired.engine.as_str()) {
                self.placed.remove(&desired.engine);
                continue;
            }
            let reported = report(&desired.engine);
            if reported.is_none_or(|reported| {
                reported.changing || is_reached(&reported, desired.kind, &desired.argument)
            }) {
                continue;
            }
            actions.extend(self.place(now_ms, authority, group, desired));
        }
        actions
    }

    fn place(
        &mut self,
        now_ms: u64,
        authority: Authority,
        group: &str,
        desired: &DesiredState,
    ) -> Option<OrderAction> {
        let placed_ms = self.placed.get(&desired.engine);
        if placed_ms.is_some_and(|at_ms| now_ms < at_ms + RESEND_MS) {
            return None;
        }
        self.placed.insert(desired.engine.clone(), now_ms);
        Some(OrderAction::Place(OrderPlaced {
            group: group.to_owned(),
            fencing_token: authority.fence,
            engine: desired.engine.clone(),
            kind: desired.kind,
            argument: desired.argument.clone(),
        }))
    }

    fn advance(
        &mut self,
        now_ms: u64,
        authority: Authority,
        order: &OrderState,
        reported: Option<&EngineReport>,
    ) -> Option<OrderAction> {
        let placed = &order.placed;
        let new = Attempt {
            order: order.offset,
            first_ms: now_ms,
            last_ms: 0,
        };
        let attempt = self.attempts.entry(placed.engine.clone()).or_insert(new);
        if attempt.order != order.offset {
            *attempt = new;
        }
        let done = reported.is_some_and(|reported| {
            reported.fencing_token >= order.offset
                && !reported.changing
                && is_reached(reported, placed.kind, &placed.argument)
        });
        let abandoned = now_ms >= attempt.first_ms + ABANDON_AFTER_MS;
        if attempt.last_ms != 0 && now_ms < attempt.last_ms + RESEND_MS {
            return None;
        }
        attempt.last_ms = now_ms.max(1);
        if done || abandoned {
            return Some(OrderAction::Settle(OrderSettled {
                engine: placed.engine.clone(),
                order: order.offset,
                done,
            }));
        }
        if reported
            .is_some_and(|reported| reported.fencing_token >= order.offset && reported.changing)
        {
            return None;
        }
        Some(OrderAction::Send(OutgoingOrder {
            engine: placed.engine.clone(),
            fencing_token: order.offset,
            kind: placed.kind,
            argument: placed.argument.clone(),
            expires_ms: authority.expires_ms,
        }))
    }
}

fn is_reached(reported: &EngineReport, kind: OrderKind, argument: &str) -> bool {
    match kind {
        OrderKind::Role => reported.role == argument,
        OrderKind::Load => reported.loaded.iter().any(|loaded| loaded == argument),
        OrderKind::Unload => !reported.loaded.iter().any(|loaded| loaded == argument),
    }
}
