//! Fakes of the platform and the upstreams.

use std::collections::BTreeMap;

use feed::{Page, RawRecord};
use wire::OrderKind;

/// Time of a role change.
const CHANGE_MS: u64 = 1_000;

/// Records that stay when old ones expire.
const KEPT: usize = 12;

/// The platform's log.
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
        let gone = self.entries.len().saturating_sub(KEPT);
        self.entries.drain(..gone);
        self.first += gone as u64;
    }
}

/// One engine. Those that ignore fencing tokens take whatever arrives.
#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) name: String,
    pub(crate) checks: bool,
    pub(crate) role: String,
    pub(crate) loaded: Vec<String>,
    pub(crate) highest: u64,
    pub(crate) slow: bool,
    doing: Option<(u64, OrderKind, String)>,
    taken: BTreeMap<u64, (OrderKind, String)>,
}

/// What arrived that must not have.
pub(crate) enum Arrived {
    Fine,
    Conflict(String),
}

impl FakeEngine {
    pub(crate) fn new(name: &str, checks: bool) -> Self {
        Self {
            name: name.to_owned(),
            checks,
            role: "mixed".to_owned(),
            loaded: vec!["m@v1".to_owned()],
            highest: 0,
            slow: false,
            doing: None,
            taken: BTreeMap::new(),
        }
    }

    pub(crate) fn is_changing(&self) -> bool {
        self.doing.is_some()
    }

    /// Takes an order: an older one than it has seen that says something else is a conflict.
    pub(crate) fn take(
        &mut self,
        now_ms: u64,
        order: u64,
        kind: OrderKind,
        argument: &str,
    ) -> Arrived {
        let what = (kind, argument.to_owned());
        if self.taken.get(&order) == Some(&what) {
            return Arrived::Fine;
        }
        if order < self.highest && self.checks {
            return Arrived::Fine;
        }
        let newest = self
            .taken
            .last_key_value()
            .map(|(_, newest)| newest.clone());
        let conflicts = order < self.highest && newest.is_some_and(|newest| newest != what);
        let busy = self.doing.as_ref().is_some_and(|doing| doing.0 != order);
        self.highest = self.highest.max(order);
        self.taken.insert(order, what);
        let took_ms = if self.slow { 10 * CHANGE_MS } else { CHANGE_MS };
        self.doing = Some((now_ms + took_ms, kind, argument.to_owned()));
        if conflicts || busy {
            let highest = self.highest;
            return Arrived::Conflict(format!(
                "{}: order {order} {argument} beside {highest}",
                self.name
            ));
        }
        Arrived::Fine
    }

    pub(crate) fn advance(&mut self, now_ms: u64) {
        let Some((until_ms, kind, argument)) = self.doing.take_if(|doing| doing.0 <= now_ms) else {
            return;
        };
        debug_assert!(until_ms <= now_ms);
        match kind {
            OrderKind::Role => self.role = argument,
            OrderKind::Load => self.loaded.push(argument),
            OrderKind::Unload => self.loaded.retain(|loaded| *loaded != argument),
        }
    }

    /// Forgets everything, its fencing token too.
    pub(crate) fn crash(&mut self) {
        *self = Self::new(&self.name.clone(), self.checks);
    }
}

/// The plain service.
#[derive(Debug, Default)]
pub(crate) struct FakeService {
    pub(crate) effects: BTreeMap<u64, u32>,
    pub(crate) slow_ms: u64,
    pub(crate) loses_answers: bool,
}
