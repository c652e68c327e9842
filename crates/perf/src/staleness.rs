//! Goodput by number of instances and by the interval between their heartbeats.

use std::fmt::Write;

use model::Deployment;

use crate::{Figures, Policy, RunSettings, Trace, TraceKind, run};

/// Numbers of instances that share the load.
const INSTANCES: [usize; 4] = [1, 3, 9, 27];

/// Intervals between heartbeats, in ms; the shortest stands for no staleness.
const HEARTBEATS_MS: [f64; 4] = [10.0, 250.0, 1_000.0, 4_000.0];

/// Load of the runs, as a share of the engines' capacity.
const LOAD: f64 = 1.5;

/// Runs all combinations and renders a Markdown table: a row for each number of instances, columns
/// for each heartbeat interval.
pub fn staleness_markdown(deployment: Deployment, seed: u64) -> String {
    let trace = Trace::new(TraceKind::Swing, deployment, LOAD, seed);
    let mut text = "| instances | least-reported |".to_owned();
    for heartbeat_ms in HEARTBEATS_MS {
        let _ = write!(text, " heartbeat {heartbeat_ms} ms | bytes/s |");
    }
    text.push_str("\n| ---: | ---: |");
    text.push_str(&" ---: | ---: |".repeat(HEARTBEATS_MS.len()));
    text.push('\n');
    for instances in INSTANCES {
        let setting = |policy, heartbeat_ms| RunSettings {
            instances,
            heartbeat_ms,
            ..RunSettings::new(policy, deployment, seed)
        };
        let baseline = run(&trace, &setting(Policy::LeastReported, 250.0));
        let _ = write!(text, "| {instances} | {:.3} |", baseline.goodput());
        for heartbeat_ms in HEARTBEATS_MS {
            let figures: Figures = run(&trace, &setting(Policy::Own, heartbeat_ms));
            let _ = write!(
                text,
                " {:.3} | {:.0} |",
                figures.goodput(),
                figures.gossip_bytes
            );
        }
        text.push('\n');
    }
    text
}
