//! Orders to the engines of one group, one at a time for each engine.

use std::collections::BTreeMap;

use wire::{OrderKind, OrderPlaced, OrderSettled, OrderState};

use crate::Authority;

/// Time after which an order that is not done is sent again.
const RESEND_MS: u64 = 1_000;

/// An order whose engine is gone is given up after this time, so that the engine can get another
/// when it comes back. Longer than any role change or load that engines report.
const GIVE_UP_MS: u64 = 120_000;

/// What an engine last said of itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// Role it plays.
    pub role: String,
    /// `model@version` of all that it has loaded.
    pub loaded: Vec<String>,
    /// Whether it is carrying out an order.
    pub changing: bool,
    /// Highest fencing token it has taken an order with.
    pub fencing_token: u64,
}

/// What an engine should be doing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DesiredState {
    /// Engine.
    pub engine: String,
    /// Kind of order that leads there.
    pub kind: OrderKind,
    /// Role, or `model@version`.
    pub argument: String,
}

/// An order to put on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingOrder {
    /// Engine.
    pub engine: String,
    /// Offset of the order, which is its fencing token.
    pub fencing_token: u64,
    /// Kind of order.
    pub kind: OrderKind,
    /// Role, or `model@version`.
    pub argument: String,
    /// The sender's own time after which no byte of it may leave.
    pub expires_ms: u64,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderAction {
    /// Append the record of an order. It is sent only after it was read back.
    Place(OrderPlaced),
    /// Send an order that was read back, perhaps again.
    Send(OutgoingOrder),
    /// Append the record that an order has ended.
    Settle(OrderSettled),
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    order: u64,
    first_ms: u64,
    last_ms: u64,
}

/// Decides which order goes out next.
///
/// An order that is open in the log is repeated, whoever placed it, until the engine says that
/// it is done; only then is another one placed. A successor therefore never gives an engine an
/// order that differs from what its predecessor may still have on the way.
#[derive(Debug, Default)]
pub struct OrderScheduler {
    attempts: BTreeMap<String, Attempt>,
    placed: BTreeMap<String, u64>,
}

impl OrderScheduler {
    /// The next moves under an authority.
    pub fn next_actions<'a>(
        &mut self,
        now_ms: u64,
        authority: Authority,
        group: &str,
        wishes: &[DesiredState],
        orders: impl Iterator<Item = &'a OrderState>,
        report: impl Fn(&str) -> Option<EngineReport>,
    ) -> Vec<OrderAction> {
        let orders: BTreeMap<&str, &OrderState> = orders
            .map(|order| (order.placed.engine.as_str(), order))
            .collect();
        let mut moves = Vec::new();
        for (engine, order) in &orders {
            let seen = report(engine);
            moves.extend(self.pursue(now_ms, authority, order, seen.as_ref()));
        }
        for wish in wishes {
            if orders.contains_key(wish.engine.as_str()) {
                self.placed.remove(&wish.engine);
                continue;
            }
            let seen = report(&wish.engine);
            if seen.is_none_or(|seen| seen.changing || is_met(&seen, wish.kind, &wish.argument)) {
                continue;
            }
            moves.extend(self.place(now_ms, authority, group, wish));
        }
        moves
    }

    fn place(
        &mut self,
        now_ms: u64,
        authority: Authority,
        group: &str,
        wish: &DesiredState,
    ) -> Option<OrderAction> {
        let waiting = self.placed.get(&wish.engine);
        if waiting.is_some_and(|at_ms| now_ms < at_ms + RESEND_MS) {
            return None;
        }
        self.placed.insert(wish.engine.clone(), now_ms);
        Some(OrderAction::Place(OrderPlaced {
            group: group.to_owned(),
            fencing_token: authority.fence,
            engine: wish.engine.clone(),
            kind: wish.kind,
            argument: wish.argument.clone(),
        }))
    }

    fn pursue(
        &mut self,
        now_ms: u64,
        authority: Authority,
        order: &OrderState,
        seen: Option<&EngineReport>,
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
        let done = seen.is_some_and(|seen| {
            seen.fencing_token >= order.offset
                && !seen.changing
                && is_met(seen, placed.kind, &placed.argument)
        });
        let given_up = now_ms >= attempt.first_ms + GIVE_UP_MS;
        if attempt.last_ms != 0 && now_ms < attempt.last_ms + RESEND_MS {
            return None;
        }
        attempt.last_ms = now_ms.max(1);
        if done || given_up {
            return Some(OrderAction::Settle(OrderSettled {
                engine: placed.engine.clone(),
                order: order.offset,
                done,
            }));
        }
        if seen.is_some_and(|seen| seen.fencing_token >= order.offset && seen.changing) {
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

fn is_met(seen: &EngineReport, kind: OrderKind, argument: &str) -> bool {
    match kind {
        OrderKind::Role => seen.role == argument,
        OrderKind::Load => seen.loaded.iter().any(|loaded| loaded == argument),
        OrderKind::Unload => !seen.loaded.iter().any(|loaded| loaded == argument),
    }
}
