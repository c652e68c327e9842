//! Goodput against the number of instances and the staleness of what they know of each other.

use std::fmt::Write;

use model::Deployment;

use crate::{Figures, Policy, RunSettings, Trace, TraceKind, run};

/// Instances among which the load is spread.
const INSTANCES: [usize; 4] = [1, 3, 9, 27];

/// Times between two heartbeats, in ms; the least stands for none.
const BEATS_MS: [f64; 4] = [10.0, 250.0, 1_000.0, 4_000.0];

/// Load of these runs.
const LOAD: f64 = 1.5;

/// A table with a row for each number of instances and a column for each staleness.
pub fn staleness_markdown(deployment: Deployment, seed: u64) -> String {
    let trace = Trace::new(TraceKind::Swing, deployment, LOAD, seed);
    let mut text = "| instances | least-reported |".to_owned();
    for heartbeat_ms in BEATS_MS {
        let _ = write!(text, " heartbeat {heartbeat_ms} ms | bytes/s |");
    }
    text.push_str("\n| ---: | ---: |");
    text.push_str(&" ---: | ---: |".repeat(BEATS_MS.len()));
    text.push('\n');
    for instances in INSTANCES {
        let setting = |policy, heartbeat_ms| RunSettings {
            instances,
            heartbeat_ms,
            ..RunSettings::new(policy, deployment, seed)
        };
        let naive = run(&trace, &setting(Policy::LeastReported, 250.0));
        let _ = write!(text, "| {instances} | {:.3} |", naive.goodput());
        for heartbeat_ms in BEATS_MS {
            let figures: Figures = run(&trace, &setting(Policy::Own, heartbeat_ms));
            let _ = write!(
                text,
                " {:.3} | {:.0} |",
                figures.goodput(),
                figures.told_bytes
            );
        }
        text.push('\n');
    }
    text
}
