//! An upper bound on goodput that knows the future.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use plan::EngineProfile;

use crate::Trace;
use crate::trace::{Event, LENGTH_MS};

/// Time for which a drained engine goes on with what it holds.
const DRAIN_MS: f64 = 15_000.0;

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

/// Most requests that any policy could complete in time.
///
/// All engines are taken as one that can be divided at will, each request as the least engine
/// time it can cost, every repeated prefix as cached and every role change as free, and work may
/// begin before its request arrives. Among requests in the order of their deadlines the longest
/// is left out whenever the work exceeds the time (Moore and Hodgson), which is optimal for that
/// easier problem; the true optimum is lower.
pub(crate) fn upper_bound(trace: &Trace) -> u64 {
    let shape = EngineProfile::default();
    let mut jobs: Vec<(f64, f64)> = trace
        .arrivals
        .iter()
        .map(|arrival| {
            let read = f64::from(arrival.prompt_tokens - arrival.prefix_tokens);
            let work_ms = shape.min_work_ms(read, f64::from(arrival.output_tokens));
            (arrival.at_ms + arrival.deadline_ms, work_ms)
        })
        .collect();
    jobs.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut kept: BinaryHeap<Work> = BinaryHeap::new();
    let mut total_ms = 0.0;
    for (due_ms, work_ms) in jobs {
        kept.push(Work { ms: work_ms });
        total_ms += work_ms;
        while total_ms > capacity_until(trace, due_ms) {
            let Some(longest) = kept.pop() else {
                break;
            };
            total_ms -= longest.ms;
        }
    }
    kept.len() as u64
}

/// Engine time there is up to a moment, without engines that were lost or drained by then.
fn capacity_until(trace: &Trace, until_ms: f64) -> f64 {
    let engines = trace.deployment.engines() as f64;
    let gone: f64 = trace
        .events
        .iter()
        .filter(|(_, event)| matches!(event, Event::Crash(_) | Event::Drain(_)))
        .map(|(at_ms, _)| (until_ms - at_ms - DRAIN_MS).max(0.0))
        .sum();
    engines * until_ms.min(2.0 * LENGTH_MS) - gone
}
