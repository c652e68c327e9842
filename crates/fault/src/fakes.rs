//! Fakes of the platform's log, the engines and the plain service.

use std::collections::BTreeMap;

use feed::{Page, RawRecord};
use wire::OrderKind;

/// Time that an engine needs for an order, in ms.
const ORDER_MS: u64 = 1_000;

/// Number of newest records that remain when old ones expire.
const RECORDS_KEPT: usize = 12;

/// Fake of the platform's log.
#[derive(Debug, Default)]
pub(crate) struct FakeLog {
    entries: Vec<RawRecord>,
    first: u64,
    pub(crate) down: bool,
    pub(crate) slow_ms: u64,
    pub(crate) loses_answers: bool,
}

impl FakeLog {
    pub(crate) fn new() -> Self {
        Self {
            first: 1,
            ..Self::default()
        }
    }

    pub(crate) fn append(&mut self, records: Vec<Vec<u8>>) {
        for data in records {
            let offset = self.first + self.entries.len() as u64;
            self.entries.push(RawRecord { offset, data });
        }
    }

    pub(crate) fn read(&self, from: u64) -> Page {
        let entries: Vec<RawRecord> = self
            .entries
            .iter()
            .filter(|entry| entry.offset >= from)
            .cloned()
            .collect();
        let next = entries
            .last()
            .map_or(from.max(self.first), |entry| entry.offset + 1);
        Page {
            oldest_offset: self.first,
            next_offset: next,
            records: entries,
        }
    }

    pub(crate) fn expire(&mut self) {
        let expired = self.entries.len().saturating_sub(RECORDS_KEPT);
        self.entries.drain(..expired);
        self.first += expired as u64;
    }
}

/// Fake engine. If it does not check fencing tokens, it accepts every order that arrives.
#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) name: String,
    pub(crate) checks_tokens: bool,
    pub(crate) role: String,
    pub(crate) loaded: Vec<String>,
    pub(crate) highest_token: u64,
    pub(crate) slow: bool,
    /// Time at which the current order ends, in ms, with its kind and argument.
    in_progress: Option<(u64, OrderKind, String)>,
    /// Accepted orders by fencing token.
    accepted: BTreeMap<u64, (OrderKind, String)>,
}

/// Result of an order's arrival.
pub(crate) enum OrderResult {
    NoConflict,
    Conflict(String),
}

impl FakeEngine {
    pub(crate) fn new(name: &str, checks_tokens: bool) -> Self {
        Self {
            name: name.to_owned(),
            checks_tokens,
            role: "mixed".to_owned(),
            loaded: vec!["m@v1".to_owned()],
            highest_token: 0,
            slow: false,
            in_progress: None,
            accepted: BTreeMap::new(),
        }
    }

    pub(crate) fn is_changing(&self) -> bool {
        self.in_progress.is_some()
    }

    /// Receives an order. A repeated order is ignored, as is an outdated one if tokens are checked.
    /// It conflicts if another order is in progress, or if its fencing token is older than that of
    /// a different order which was accepted before.
    pub(crate) fn receive(
        &mut self,
        now_ms: u64,
        order: u64,
        kind: OrderKind,
        argument: &str,
    ) -> OrderResult {
        let content = (kind, argument.to_owned());
        if self.accepted.get(&order) == Some(&content) {
            return OrderResult::NoConflict;
        }
        if order < self.highest_token && self.checks_tokens {
            return OrderResult::NoConflict;
        }
        let newest = self
            .accepted
            .last_key_value()
            .map(|(_, newest)| newest.clone());
        let conflicts =
            order < self.highest_token && newest.is_some_and(|newest| newest != content);
        let busy = self
            .in_progress
            .as_ref()
            .is_some_and(|in_progress| in_progress.0 != order);
        self.highest_token = self.highest_token.max(order);
        self.accepted.insert(order, content);
        let took_ms = if self.slow { 10 * ORDER_MS } else { ORDER_MS };
        self.in_progress = Some((now_ms + took_ms, kind, argument.to_owned()));
        if conflicts || busy {
            let highest = self.highest_token;
            return OrderResult::Conflict(format!(
                "{}: order {order} {argument} beside {highest}",
                self.name
            ));
        }
        OrderResult::NoConflict
    }

    pub(crate) fn advance(&mut self, now_ms: u64) {
        let Some((until_ms, kind, argument)) = self
            .in_progress
            .take_if(|in_progress| in_progress.0 <= now_ms)
        else {
            return;
        };
        debug_assert!(until_ms <= now_ms);
        match kind {
            OrderKind::Role => self.role = argument,
            OrderKind::Load => self.loaded.push(argument),
            OrderKind::Unload => self.loaded.retain(|loaded| *loaded != argument),
        }
    }

    /// Resets the engine, including its highest fencing token.
    pub(crate) fn crash(&mut self) {
        *self = Self::new(&self.name.clone(), self.checks_tokens);
    }
}

/// Fake of the plain service.
#[derive(Debug, Default)]
pub(crate) struct FakeService {
    pub(crate) effects: BTreeMap<u64, u32>,
    pub(crate) slow_ms: u64,
    pub(crate) loses_answers: bool,
}
