//! Orders with fencing tokens.

/// Orders of one engine.
#[derive(Debug)]
pub(super) struct Orders {
    checks: bool,
    highest: u64,
    changing: Option<u64>,
    away: bool,
    taken: Vec<(u64, String)>,
}

/// What becomes of an order that has arrived.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Taken {
    /// It is new.
    New,
    /// It is the last one again.
    Again,
    /// Its token is old, and this engine looks at tokens.
    Stale,
}

impl Orders {
    pub(super) fn new(checks: bool) -> Self {
        Self {
            checks,
            highest: 0,
            changing: None,
            away: false,
            taken: Vec::new(),
        }
    }

    pub(super) fn take(&mut self, order: u64, kind: &str, argument: &str) -> Taken {
        if self.taken.last().is_some_and(|last| last.0 == order) {
            return Taken::Again;
        }
        if self.checks && order <= self.highest {
            return Taken::Stale;
        }
        self.highest = self.highest.max(order);
        self.taken.push((order, format!("{kind} {argument}")));
        self.away = kind == "role";
        self.changing = Some(order);
        Taken::New
    }

    pub(super) fn finish(&mut self, order: u64) {
        if self.changing == Some(order) {
            self.changing = None;
            self.away = false;
        }
    }

    pub(super) fn is_changing(&self) -> bool {
        self.changing.is_some()
    }

    /// Whether it takes no work: a load goes on beside the work, a role change does not.
    pub(super) fn is_away(&self) -> bool {
        self.away
    }

    pub(super) fn highest(&self) -> u64 {
        self.highest
    }

    pub(super) fn taken(&self) -> &[(u64, String)] {
        &self.taken
    }
}
