//! What an instance learns from the requests and answers that pass through it.
//!
//! Nothing of it is told to others or kept beyond the process: each is right again within some
//! dozens of requests.

use std::cell::RefCell;
use std::collections::HashMap;

use plan::{LatencyModel, Prediction, PrefillSample};

use crate::prior_wait::PriorWaitEstimator;
use crate::urgency::TypicalLength;

/// What was learned, by service or by route.
#[derive(Debug, Default)]
pub struct Learned {
    paces: RefCell<HashMap<String, LatencyModel>>,
    prior_waits: RefCell<HashMap<String, PriorWaitEstimator>>,
    lengths: RefCell<HashMap<String, TypicalLength>>,
}

impl Learned {
    /// How fast a service's engines read.
    pub fn pace(&self, service: &str) -> LatencyModel {
        let paces = self.paces.borrow();
        paces.get(service).copied().unwrap_or_default()
    }

    /// An engine of a service that does nothing else has read a prompt.
    pub fn observe_prefill(&self, service: &str, seen: &PrefillSample) {
        self.adjust(service, |pace| pace.record_prefill(seen));
    }

    /// An engine of a service began output after `took_ms` where `first` was predicted, having read
    /// the prompt itself or got it from another one.
    pub fn observe_first_event(
        &self,
        service: &str,
        first: &Prediction,
        is_transferred: bool,
        took_ms: f64,
    ) {
        let off_ms = took_ms - first.total_ms();
        self.adjust(service, |pace| {
            if is_transferred {
                pace.record_kv_transfer(off_ms);
            } else {
                pace.record_decode_prefill(off_ms, first.wait_ms, first.processing_ms);
            }
        });
    }

    fn adjust(&self, service: &str, learn: impl FnOnce(&mut LatencyModel)) {
        let mut paces = self.paces.borrow_mut();
        learn(paces.entry(service.to_owned()).or_default());
    }

    /// How long a caller had waited before this attempt, as far as its deadline tells.
    pub fn prior_wait_ms(&self, route: &str, deadline_ms: Option<u64>) -> u64 {
        let Some(deadline_ms) = deadline_ms else {
            return 0;
        };
        let mut all = self.prior_waits.borrow_mut();
        all.entry(route.to_owned())
            .or_default()
            .observe_deadline(deadline_ms)
    }

    /// Whether a prompt of a route lets longer ones of it go first.
    pub fn yields_to_longer(&self, route: &str, tokens: f64) -> bool {
        let mut all = self.lengths.borrow_mut();
        all.entry(route.to_owned())
            .or_default()
            .yields_to_longer(tokens)
    }
}
