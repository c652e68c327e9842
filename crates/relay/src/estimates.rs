//! Estimates that an instance learns from the requests and answers that it forwards.
//!
//! They are neither gossiped nor stored: after a restart each is accurate again within some dozens of
//! requests.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::{LatencyModel, Prediction, PrefillSample};

use crate::prior_wait::PriorWaitEstimator;
use crate::urgency::TypicalLength;

/// Estimates estimates, by service or by route.
#[derive(Debug, Default)]
pub struct Estimates {
    latency_models: RefCell<HashMap<String, LatencyModel>>,
    prior_waits: RefCell<HashMap<String, PriorWaitEstimator>>,
    lengths: RefCell<HashMap<String, TypicalLength>>,
}

impl Estimates {
    /// Latency model of a service's engines.
    pub fn latency_model(&self, service: &str) -> LatencyModel {
        let latency_models = self.latency_models.borrow();
        latency_models.get(service).copied().unwrap_or_default()
    }

    /// Learns from a prefill at a dedicated prefill engine.
    pub fn observe_prefill(&self, service: &str, sample: &PrefillSample) {
        self.adjust(service, |model| model.record_prefill(sample));
    }

    /// Learns from a first event after `took_ms` where `first` was predicted. `is_transferred` tells
    /// whether the prompt's KV cache came from another engine.
    pub fn observe_first_event(
        &self,
        service: &str,
        first: &Prediction,
        is_transferred: bool,
        took_ms: f64,
    ) {
        let error_ms = took_ms - first.total_ms();
        self.adjust(service, |model| {
            if is_transferred {
                model.record_kv_transfer(error_ms);
            } else {
                model.record_decode_prefill(error_ms, first.wait_ms, first.processing_ms);
            }
        });
    }

    fn adjust(&self, service: &str, learn: impl FnOnce(&mut LatencyModel)) {
        let mut latency_models = self.latency_models.borrow_mut();
        learn(latency_models.entry(service.to_owned()).or_default());
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
