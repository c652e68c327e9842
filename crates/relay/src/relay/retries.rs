//! The retry budget of each service, of which this instance takes its share.

use plan::BudgetShare;

use super::Relay;
use crate::call::Call;

impl Relay {
    /// Counts the first send of a request to a service, which adds to the retry budget.
    pub fn count_first_send(&self, service: &str) {
        let settings = self.settings.borrow().retry_budget;
        let mut all = self.retries.borrow_mut();
        let retries = all.entry(service.to_owned()).or_default();
        retries.record_first_send(self.now_ms(), &settings);
    }

    /// Takes one retry from a service's budget; false if none is left.
    pub fn take_retry(&self, service: &str) -> bool {
        // An instance that has just started does not know how many instances share the budget. If each
        // took all of it, restarting many of them during an outage would exceed the limit.
        if !self.members.borrow().has_members() {
            return false;
        }
        let settings = self.settings.borrow().retry_budget;
        let share = self.share();
        let mut all = self.retries.borrow_mut();
        let retries = all.entry(service.to_owned()).or_default();
        let is_taken = retries.try_retry(self.now_ms(), &settings, &share);
        let labels = [outcome_label(is_taken)];
        self.metrics.retries.with_label_values(&labels).inc();
        is_taken
    }

    /// This instance's share of the part of the budget that does not depend on the request rate.
    pub(super) fn share(&self) -> BudgetShare {
        BudgetShare {
            instances: self.members.borrow().share_count(),
            age_ms: self.now_ms(),
        }
    }

    /// Whether a request may be sent to its service; all but its first arrival there take a retry from the budget.
    ///
    /// To be called before each send. Every earlier send that reached the service counts, also a prompt that its
    /// prefill engine rejected: otherwise engines that reject all prompts would get every request twice.
    pub fn may_send(&self, call: &Call) -> bool {
        self.may_send_times(call, 1)
    }

    /// Whether a request may be sent to a separate prefill engine and then to a decode engine.
    ///
    /// Only the first accepted prefill is free; a later one takes a retry in addition to that of the decode.
    ///
    /// A trial is one send: it would otherwise reach two upstreams.
    pub fn may_prefill_separately(&self, call: &Call) -> bool {
        if call.has_unused_trial() {
            return false;
        }
        !call.prefill_accepted.get() || self.may_send_times(call, 2)
    }

    fn may_send_times(&self, call: &Call, times: u32) -> bool {
        (0..times).all(|earlier| self.is_send_allowed(call, call.arrivals() + earlier))
    }

    /// Whether a request that has arrived `arrivals` times may arrive once more; takes a retry if none
    /// that it took before covers that.
    fn is_send_allowed(&self, call: &Call, arrivals: u32) -> bool {
        if arrivals < call.allowed_arrivals.get() {
            return true;
        }
        let is_taken = self.take_retry(&call.service);
        call.allowed_arrivals
            .set(call.allowed_arrivals.get() + u32::from(is_taken));
        self.log_retry(call, is_taken);
        is_taken
    }

    /// First sends and retries that this instance counts for a service in the window that ends now.
    pub fn retry_counts(&self, service: &str) -> (u32, u32) {
        let settings = self.settings.borrow().retry_budget;
        let mut all = self.retries.borrow_mut();
        let retries = all.entry(service.to_owned()).or_default();
        retries.counts(self.now_ms(), &settings)
    }

    fn log_retry(&self, call: &Call, is_taken: bool) {
        if !self.failure_log_limit.take(self.now_ms()) {
            return;
        }
        let (first, again) = self.retry_counts(&call.service);
        log::info!(
            request = call.id(), service = call.service, outcome = outcome_label(is_taken), first, again,
            instances = self.share().instances;
            "repeat"
        );
    }
}

/// Label of a retry's outcome in log lines and metrics.
fn outcome_label(is_taken: bool) -> &'static str {
    if is_taken { "taken" } else { "refused" }
}
