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
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused => "refused",
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

    /// Whether a request may reach its service once more, which takes a repeat from the budget unless this is
    /// the first time.
    ///
    /// Asked before each send. What became of the one before counts, whether or not it was meant to be a repeat: a
    /// prompt that its reader rejects is one more arrival, and engines that reject all prompts would get
    /// every request twice.
    pub fn may_arrive(&self, call: &Call) -> bool {
        if call.arrivals() < call.covered.get() {
            return true;
        }
        let may = self.may_repeat(&call.service);
        call.covered.set(call.covered.get() + u32::from(may));
        let outcome = if may {
            Outcome::Taken
        } else {
            Outcome::Refused
        };
        self.note_repeat(call, outcome);
        may
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
