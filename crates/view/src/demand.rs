//! What callers ask of one service, of one instance or of many.

use serde::{Deserialize, Serialize};

/// What is asked of the engines of a service.
///
/// An instance of some hundreds has a few requests a second, and its own part multiplied says little
/// of the whole: the fleet's is the sum of what all tell.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: String,
    /// Engines that would read without a pause.
    #[serde(rename = "reading")]
    pub prefill_engines: f32,
    /// Engines whose places would all be taken.
    #[serde(rename = "making")]
    pub decode_engines: f32,
    /// Requests a second.
    #[serde(rename = "requests_a_s")]
    pub requests_per_s: f32,
}

/// Adds what is asked of each service to a sum.
pub fn add(sum: &mut Vec<ServiceDemand>, other: &[ServiceDemand]) {
    for each in other {
        match sum.iter_mut().find(|known| known.service == each.service) {
            Some(known) => {
                known.prefill_engines += each.prefill_engines;
                known.decode_engines += each.decode_engines;
                known.requests_per_s += each.requests_per_s;
            }
            None => sum.push(each.clone()),
        }
    }
}

/// Takes away what was added before.
pub fn take(sum: &mut [ServiceDemand], other: &[ServiceDemand]) {
    for each in other {
        if let Some(known) = sum.iter_mut().find(|known| known.service == each.service) {
            known.prefill_engines = (known.prefill_engines - each.prefill_engines).max(0.0);
            known.decode_engines = (known.decode_engines - each.decode_engines).max(0.0);
            known.requests_per_s = (known.requests_per_s - each.requests_per_s).max(0.0);
        }
    }
}
