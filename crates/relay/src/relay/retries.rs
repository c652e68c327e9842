//! The bound on requests that reach a service more than once, as this instance keeps its part of it.

use plan::BudgetShare;

use super::Relay;
use crate::call::Call;

impl Relay {
    /// Counts a first send to a service.
    pub fn count_first_send(&self, service: &str) {
        let terms = self.settings.borrow().retry_budget;
        let mut all = self.retries.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        repeats.record_first_send(self.now_ms(), &terms);
    }

    /// Takes one repeat from the budget of a service.
    pub fn take_retry(&self, service: &str) -> bool {
        // An instance that has just started does not know among how many the budget is split;
        // were all to take it whole, a restart of many during a failure would break the bound.
        if !self.members.borrow().has_members() {
            return false;
        }
        let terms = self.settings.borrow().retry_budget;
        let share = self.share();
        let mut all = self.retries.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        let may = repeats.try_retry(self.now_ms(), &terms, &share);
        let labels = [outcome_of(may)];
        self.metrics.retries.with_label_values(&labels).inc();
        may
    }

    /// Its share in the fixed allowance.
    pub(super) fn share(&self) -> BudgetShare {
        BudgetShare {
            instances: self.members.borrow().share_count(),
            age_ms: self.now_ms(),
        }
    }

    /// Whether a request may reach its service once more, which takes a repeat from the budget unless this is
    /// the first time.
    ///
    /// Asked before each send. What became of the one before counts, whether or not it was meant to be a repeat: a
    /// prompt that its reader rejects is one more arrival, and engines that reject all prompts would get
    /// every request twice.
    pub fn may_send(&self, call: &Call) -> bool {
        self.may_arrive_times(call, 1)
    }

    /// Whether a request may have its prompt read apart and then reach its service for its output.
    ///
    /// Only the first read is free, so one that follows takes a repeat beside that of the output.
    pub fn may_prefill_apart(&self, call: &Call) -> bool {
        !call.prefill_accepted.get() || self.may_arrive_times(call, 2)
    }

    fn may_arrive_times(&self, call: &Call, times: u32) -> bool {
        (0..times).all(|earlier| self.covers(call, call.arrivals() + earlier))
    }

    /// Whether the arrival after `arrivals` of a request is covered, or can be by one more repeat.
    fn covers(&self, call: &Call, arrivals: u32) -> bool {
        if arrivals < call.allowed_arrivals.get() {
            return true;
        }
        let may = self.take_retry(&call.service);
        call.allowed_arrivals
            .set(call.allowed_arrivals.get() + u32::from(may));
        self.note_repeat(call, may);
        may
    }

    fn note_repeat(&self, call: &Call, may: bool) {
        let now_ms = self.now_ms();
        if !self.failure_log_limit.take(now_ms) {
            return;
        }
        let terms = self.settings.borrow().retry_budget;
        let mut all = self.retries.borrow_mut();
        let repeats = all.entry(call.service.clone()).or_default();
        let (first, again) = repeats.counts(now_ms, &terms);
        log::info!(
            request = call.id(), service = call.service, outcome = outcome_of(may), first, again,
            instances = self.share().instances;
            "repeat"
        );
    }
}

/// What became of a repeat, for lines and metrics.
fn outcome_of(may: bool) -> &'static str {
    if may { "taken" } else { "refused" }
}
