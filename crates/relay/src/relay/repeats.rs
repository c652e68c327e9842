//! The bound on requests that reach a service more than once, as this instance keeps its part of it.

use super::Relay;
use crate::call::Call;

/// What became of a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// It was taken from the budget.
    Taken,
    /// The budget has none left.
    Refused,
    /// It had been sent before it was known to be one.
    Forced,
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused => "refused",
            Self::Forced => "forced",
        }
    }
}

impl Relay {
    /// Counts a first send to a service.
    pub fn sent_first(&self, service: &str) {
        let terms = self.settings.borrow().repeats;
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        repeats.first(self.now_ms(), &terms);
    }

    /// Takes one repeat from the budget of a service.
    pub fn may_repeat(&self, service: &str) -> bool {
        // An instance that has just started does not know among how many the budget is split;
        // were all to take it whole, a restart of many during a failure would break the bound.
        if !self.members.borrow().is_known() {
            return false;
        }
        let terms = self.settings.borrow().repeats;
        let instances = self.instances();
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        let may = repeats.take(self.now_ms(), &terms, instances);
        let outcome = if may {
            Outcome::Taken
        } else {
            Outcome::Refused
        };
        self.count_repeat(outcome);
        may
    }

    /// Takes one repeat of a request, with a line on what decided it.
    pub fn may_repeat_call(&self, call: &Call) -> bool {
        let may = self.may_repeat(&call.service);
        let outcome = if may {
            Outcome::Taken
        } else {
            Outcome::Refused
        };
        self.note_repeat(call, outcome);
        may
    }

    /// Counts a repeat that had been sent before it was known to be one.
    pub fn forced_repeat(&self, call: &Call) {
        let terms = self.settings.borrow().repeats;
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(call.service.clone()).or_default();
        repeats.forced(self.now_ms(), &terms);
        drop(all);
        self.count_repeat(Outcome::Forced);
        self.note_repeat(call, Outcome::Forced);
    }

    fn count_repeat(&self, outcome: Outcome) {
        let labels = [outcome.label()];
        self.metrics.repeats.with_label_values(&labels).inc();
    }

    fn note_repeat(&self, call: &Call, outcome: Outcome) {
        let now_ms = self.now_ms();
        if !self.failed_lines.take(now_ms) {
            return;
        }
        let terms = self.settings.borrow().repeats;
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(call.service.clone()).or_default();
        let (first, again) = repeats.counts(now_ms, &terms);
        log::info!(
            request = call.id(), service = call.service, outcome = outcome.label(), first, again,
            instances = self.instances();
            "repeat"
        );
    }
}
