//! Upper bound on goodput, computed from the whole trace in hindsight.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use plan::EngineProfile;

use crate::Trace;
use crate::trace::{EngineEvent, LENGTH_MS};

/// Time for which a drained engine still counts as capacity while it finishes its work, in ms.
const DRAIN_GRACE_MS: f64 = 15_000.0;

struct Work {
    ms: f64,
}

impl PartialEq for Work {
    fn eq(&self, other: &Self) -> bool {
        self.ms.total_cmp(&other.ms) == Ordering::Equal
    }
}

impl Eq for Work {}

impl PartialOrd for Work {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Work {
    fn cmp(&self, other: &Self) -> Ordering {
        self.ms.total_cmp(&other.ms)
    }
}

/// Upper bound on the number of requests that any policy can complete in time.
///
/// It solves an easier problem: the engines form one divisible resource, each request costs its
/// minimum engine time, every shared prefix is cached, role changes are free, and work may start
/// before its request arrives. The Moore-Hodgson algorithm is optimal for it: it takes requests by
/// deadline and drops the longest one whenever the work exceeds the capacity. The true optimum is
/// lower.
pub(crate) fn upper_bound(trace: &Trace) -> u64 {
    let profile = EngineProfile::default();
    let mut jobs: Vec<(f64, f64)> = trace
        .arrivals
        .iter()
        .map(|arrival| {
            let uncached_tokens = f64::from(arrival.prompt_tokens - arrival.prefix_tokens);
            let work_ms = profile.min_work_ms(uncached_tokens, f64::from(arrival.output_tokens));
            (arrival.at_ms + arrival.deadline_ms, work_ms)
        })
        .collect();
    jobs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut kept: BinaryHeap<Work> = BinaryHeap::new();
    let mut total_ms = 0.0;
    for (deadline_ms, work_ms) in jobs {
        kept.push(Work { ms: work_ms });
        total_ms += work_ms;
        while total_ms > capacity_until(trace, deadline_ms) {
            let Some(longest) = kept.pop() else {
                break;
            };
            total_ms -= longest.ms;
        }
    }
    kept.len() as u64
}

/// Total engine time available until a deadline, less the time of crashed and drained engines.
fn capacity_until(trace: &Trace, until_ms: f64) -> f64 {
    let engines = trace.deployment.engines() as f64;
    let lost_ms: f64 = trace
        .events
        .iter()
        .filter(|(_, event)| matches!(event, EngineEvent::Crash(_) | EngineEvent::Drain(_)))
        .map(|(at_ms, _)| (until_ms - at_ms - DRAIN_GRACE_MS).max(0.0))
        .sum();
    engines * until_ms.min(2.0 * LENGTH_MS) - lost_ms
}
