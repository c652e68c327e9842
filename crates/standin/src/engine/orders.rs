//! Fencing-token checks and progress of an engine's orders.

/// Orders that one engine has accepted.
#[derive(Debug)]
pub(super) struct Orders {
    checks_tokens: bool,
    highest: u64,
    changing: Option<u64>,
    blocks_work: bool,
    accepted: Vec<(u64, String)>,
}

/// Decision about an incoming order.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum OrderDecision {
    /// The order is new and is carried out.
    New,
    /// The order repeats the last accepted one and is acknowledged without effect.
    Duplicate,
    /// The fencing token is outdated and this engine checks tokens, so the order is rejected.
    Stale,
}

impl Orders {
    pub(super) fn new(checks_tokens: bool) -> Self {
        Self {
            checks_tokens,
            highest: 0,
            changing: None,
            blocks_work: false,
            accepted: Vec::new(),
        }
    }

    pub(super) fn accept(&mut self, order: u64, kind: &str, argument: &str) -> OrderDecision {
        if self.accepted.last().is_some_and(|last| last.0 == order) {
            return OrderDecision::Duplicate;
        }
        if self.checks_tokens && order <= self.highest {
            return OrderDecision::Stale;
        }
        self.highest = self.highest.max(order);
        self.accepted.push((order, format!("{kind} {argument}")));
        self.blocks_work = kind == "role";
        self.changing = Some(order);
        OrderDecision::New
    }

    pub(super) fn finish(&mut self, order: u64) {
        if self.changing == Some(order) {
            self.changing = None;
            self.blocks_work = false;
        }
    }

    pub(super) fn is_changing(&self) -> bool {
        self.changing.is_some()
    }

    /// Whether new requests are refused: during a role change, but not while a model loads.
    pub(super) fn blocks_work(&self) -> bool {
        self.blocks_work
    }

    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    pub(super) fn accepted(&self) -> &[(u64, String)] {
        &self.accepted
    }
}
