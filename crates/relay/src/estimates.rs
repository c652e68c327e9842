//! Estimates that an instance learns from the requests and answers that it forwards.
//!
//! They are neither gossiped nor stored: after a restart each is accurate again within some dozens of
//! requests.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::{LatencyModel, Prediction, PrefillSample};

use crate::prior_wait::PriorWaitEstimator;
use crate::urgency::TypicalLength;

/// From how many answers a time was learned, and when the last of them came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Provenance {
    /// Number of answers.
    pub answers: u64,
    /// When the last one came, on the instance's clock.
    pub last_ms: Option<u64>,
}

impl Provenance {
    fn record(&mut self, now_ms: u64) {
        self.answers += 1;
        self.last_ms = Some(now_ms);
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
    /// Of the time per token, and of the fixed time of a prefill engine.
    pub prefill: Provenance,
    /// Of the fixed time of a decode engine that prefills.
    pub decode_prefill: Provenance,
    /// Of the time of a transfer.
    pub kv_transfer: Provenance,
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
    pub fn latency(&self, _now_ms: u64, service: &str) -> ServiceLatency {
        let latencies = self.latencies.borrow();
        latencies.get(service).copied().unwrap_or_default()
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
        self.adjust(service, |latency| {
            latency.model.record_prefill(sample);
            latency.prefill.record(now_ms);
        });
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
            let model = &mut latency.model;
            if is_transferred {
                model.record_kv_transfer(error_ms);
                latency.kv_transfer.record(now_ms);
            } else {
                model.record_decode_prefill(error_ms, first.wait_ms, first.processing_ms);
                latency.decode_prefill.record(now_ms);
            }
        });
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
