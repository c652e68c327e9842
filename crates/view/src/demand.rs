//! Load that callers put on each service, of one instance or summed over several.

use serde::{Deserialize, Serialize};

/// Demand for the engines of a service.
///
/// One instance of several hundred gets a few requests a second, too few to extrapolate to the
/// fleet. The fleet's demand is the sum of what all instances gossip.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Name of the service.
    pub service: String,
    /// Engines that the prompts would keep busy with prefill all the time.
    #[serde(rename = "reading")]
    pub prefill_engines: f32,
    /// Engines whose decode slots would all be taken.
    #[serde(rename = "making")]
    pub decode_engines: f32,
    /// Requests a second.
    #[serde(rename = "requests_a_s")]
    pub requests_per_s: f32,
}

/// Adds the demand of each service in `other` to `sum`.
pub fn add(sum: &mut Vec<ServiceDemand>, other: &[ServiceDemand]) {
    for each in other {
        match sum.iter_mut().find(|total| total.service == each.service) {
            Some(total) => {
                total.prefill_engines += each.prefill_engines;
                total.decode_engines += each.decode_engines;
                total.requests_per_s += each.requests_per_s;
            }
            None => sum.push(each.clone()),
        }
    }
}

/// Subtracts demand that was added before.
pub fn subtract(sum: &mut [ServiceDemand], other: &[ServiceDemand]) {
    for each in other {
        if let Some(total) = sum.iter_mut().find(|total| total.service == each.service) {
            total.prefill_engines = (total.prefill_engines - each.prefill_engines).max(0.0);
            total.decode_engines = (total.decode_engines - each.decode_engines).max(0.0);
            total.requests_per_s = (total.requests_per_s - each.requests_per_s).max(0.0);
        }
    }
}
