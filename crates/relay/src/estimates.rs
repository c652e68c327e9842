//! Estimates that an instance learns from the requests and answers that it forwards.
//!
//! They are neither gossiped nor stored: after a restart each is accurate again within some dozens of
//! requests.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::{LatencyModel, Prediction, PrefillSample, UnconfirmedFor};

use crate::prior_wait::PriorWaitEstimator;
use crate::urgency::TypicalLength;

/// Least work of a prompt whose answer tells the time per token, in tokens; of a shorter one most is fixed time.
const MIN_TELLING_TOKENS: f64 = 1_000.0;

/// From how many answers a time was learned, and when the last of them came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Provenance {
    /// Number of answers.
    pub answers: u64,
    /// When the last one came, on the instance's clock.
    pub last_ms: Option<u64>,
}

impl Provenance {
    /// Records an answer if it tells something; returns for how long nothing was confirmed before, in ms.
    fn confirm(&mut self, now_ms: u64, is_telling: bool) -> f64 {
        if !is_telling {
            return 0.0;
        }
        let unconfirmed_ms = self.unconfirmed_ms(now_ms);
        self.answers += 1;
        self.last_ms = Some(now_ms);
        unconfirmed_ms
    }

    /// Time since the last answer, in ms; 0 before the first, when there is nothing to forget.
    fn unconfirmed_ms(&self, now_ms: u64) -> f64 {
        self.age_ms(now_ms).unwrap_or(0) as f64
    }

    /// Time since the last answer, in ms; none before the first.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.last_ms.map(|last_ms| now_ms.saturating_sub(last_ms))
    }
}

/// What was learned of the engines of one service, and from what.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceLatency {
    /// The learned times.
    pub model: LatencyModel,
    /// Of the time per token: answers to prompts that are long enough to tell it.
    pub token: Provenance,
    /// Of the fixed time of a prefill engine.
    pub prefill: Provenance,
    /// Of the fixed time of a decode engine that prefills.
    pub decode_prefill: Provenance,
    /// Of the time of a transfer.
    pub kv_transfer: Provenance,
}

impl ServiceLatency {
    /// What is left of it at `now_ms`: times that no answer confirmed are forgotten by and by.
    fn at(&self, now_ms: u64) -> Self {
        let unconfirmed = UnconfirmedFor {
            token_ms: self.token.unconfirmed_ms(now_ms),
            prefill_ms: self.prefill.unconfirmed_ms(now_ms),
            decode_prefill_ms: self.decode_prefill.unconfirmed_ms(now_ms),
            kv_transfer_ms: self.kv_transfer.unconfirmed_ms(now_ms),
        };
        Self {
            model: self.model.after(&unconfirmed),
            ..*self
        }
    }

    fn record_prefill(&mut self, now_ms: u64, sample: &PrefillSample) {
        let is_telling = sample.own_tokens >= MIN_TELLING_TOKENS;
        let unconfirmed = UnconfirmedFor {
            token_ms: self.token.confirm(now_ms, is_telling),
            prefill_ms: self.prefill.confirm(now_ms, true),
            ..UnconfirmedFor::default()
        };
        self.model = self.model.after(&unconfirmed);
        self.model.record_prefill(sample);
    }

    fn record_decode_prefill(&mut self, now_ms: u64, first: &Prediction, error_ms: f64) {
        let prefill_ms = first.processing_ms - self.model.decode_base_ms();
        let is_telling = prefill_ms >= MIN_TELLING_TOKENS * self.model.token_ms();
        let unconfirmed = UnconfirmedFor {
            token_ms: self.token.confirm(now_ms, is_telling),
            decode_prefill_ms: self.decode_prefill.confirm(now_ms, true),
            ..UnconfirmedFor::default()
        };
        self.model = self.model.after(&unconfirmed);
        let (wait_ms, own_ms) = (first.wait_ms, first.processing_ms);
        self.model.record_decode_prefill(error_ms, wait_ms, own_ms);
    }

    fn record_kv_transfer(&mut self, now_ms: u64, error_ms: f64) {
        let unconfirmed = UnconfirmedFor {
            kv_transfer_ms: self.kv_transfer.confirm(now_ms, true),
            ..UnconfirmedFor::default()
        };
        self.model = self.model.after(&unconfirmed);
        self.model.record_kv_transfer(error_ms);
    }
}

/// Estimates by service or by route.
#[derive(Debug, Default)]
pub struct Estimates {
    latencies: RefCell<HashMap<String, ServiceLatency>>,
    prior_waits: RefCell<HashMap<String, PriorWaitEstimator>>,
    lengths: RefCell<HashMap<String, TypicalLength>>,
}

impl Estimates {
    /// Latency model of a service's engines at `now_ms`.
    pub fn latency_model(&self, now_ms: u64, service: &str) -> LatencyModel {
        self.latency(now_ms, service).model
    }

    /// What was learned of a service's engines by `now_ms`, and from what.
    pub fn latency(&self, now_ms: u64, service: &str) -> ServiceLatency {
        let latencies = self.latencies.borrow();
        latencies
            .get(service)
            .map(|latency| latency.at(now_ms))
            .unwrap_or_default()
    }

    /// What was learned by `now_ms`, by service.
    pub fn latencies(&self, now_ms: u64) -> Vec<(String, ServiceLatency)> {
        let services: Vec<String> = self.latencies.borrow().keys().cloned().collect();
        let latency = |service: String| {
            let latency = self.latency(now_ms, &service);
            (service, latency)
        };
        services.into_iter().map(latency).collect()
    }

    /// Learns from a prefill at a dedicated prefill engine.
    pub fn observe_prefill(&self, now_ms: u64, service: &str, sample: &PrefillSample) {
        self.adjust(service, |latency| latency.record_prefill(now_ms, sample));
    }

    /// Learns from a first event after `took_ms` where `first` was predicted. `is_transferred` tells
    /// whether the prompt's KV cache came from another engine.
    pub fn observe_first_event(
        &self,
        now_ms: u64,
        service: &str,
        first: &Prediction,
        is_transferred: bool,
        took_ms: f64,
    ) {
        let error_ms = took_ms - first.total_ms();
        self.adjust(service, |latency| {
            if is_transferred {
                latency.record_kv_transfer(now_ms, error_ms);
            } else {
                latency.record_decode_prefill(now_ms, first, error_ms);
            }
        });
    }

    /// Learns from a prefill at a dedicated prefill engine that was given up after it took longer than predicted.
    ///
    /// Without it only prefills that end in time would teach, and prompts that take too long would be sent
    /// to the same engines again and again.
    pub fn observe_abandoned_prefill(&self, now_ms: u64, service: &str, sample: &PrefillSample) {
        let predicted_ms = self.latency_model(now_ms, service).prefill_ms(sample);
        if sample.elapsed_ms > predicted_ms {
            self.observe_prefill(now_ms, service, sample);
        }
    }

    /// Learns from a first event that did not come within `waited_ms`, longer than predicted, until the request
    /// was given up.
    pub fn observe_abandoned_first_event(
        &self,
        now_ms: u64,
        service: &str,
        first: &Prediction,
        is_transferred: bool,
        waited_ms: f64,
    ) {
        if waited_ms > first.total_ms() {
            self.observe_first_event(now_ms, service, first, is_transferred, waited_ms);
        }
    }

    fn adjust(&self, service: &str, learn: impl FnOnce(&mut ServiceLatency)) {
        let mut latencies = self.latencies.borrow_mut();
        learn(latencies.entry(service.to_owned()).or_default());
    }

    /// Estimated time that a caller waited before this attempt, in ms; 0 if it sets no deadline.
    pub fn prior_wait_ms(&self, route: &str, deadline_ms: Option<u64>) -> u64 {
        let Some(deadline_ms) = deadline_ms else {
            return 0;
        };
        let mut all = self.prior_waits.borrow_mut();
        all.entry(route.to_owned())
            .or_default()
            .observe_deadline(deadline_ms)
    }

    /// Whether a prompt is ranked behind longer ones of its route.
    pub fn yields_to_longer(&self, route: &str, tokens: f64) -> bool {
        let mut all = self.lengths.borrow_mut();
        all.entry(route.to_owned())
            .or_default()
            .yields_to_longer(tokens)
    }
}
