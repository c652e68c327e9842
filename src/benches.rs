//! Output of `chicoryrack bench`.

use std::fmt::Write;

use derive_more::{Display, FromStr};
use model::Deployment;
use perf::{Policy, Suite, TraceKind, cases, goodput_markdown, load_factors};

/// Benches that can be selected on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, FromStr)]
pub enum BenchKind {
    /// Goodput and role changes of all policies on all traces.
    #[default]
    #[display("policy")]
    Policy,
    /// Goodput by staleness of the load view and by number of instances.
    #[display("views")]
    Views,
    /// Check against the committed bounds.
    #[display("bounds")]
    Bounds,
    /// Growth of memory, time and bytes with size.
    #[display("slopes")]
    Slopes,
    /// Latencies of a running deployment.
    #[display("live")]
    Live,
    /// HTML page with goodput and role changes over time.
    #[display("report")]
    Report,
}

/// Selects runs of the policy bench.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PolicyFilter {
    /// Only this deployment; all if empty.
    pub deployment: Option<Deployment>,
    /// Only this trace; all if empty.
    pub trace: Option<TraceKind>,
    /// Only this load factor; all if empty.
    pub load: Option<f64>,
    /// Seed of the traces and of random choices.
    pub seed: u64,
}

/// Returns the given deployment, or both if none is given.
pub fn deployments(filter: Option<Deployment>) -> Vec<Deployment> {
    filter.map_or_else(
        || vec![Deployment::Annabhandar, Deployment::Lakeshore],
        |deployment| vec![deployment],
    )
}

fn policies() -> Vec<Policy> {
    let mut policies = vec![Policy::Own];
    policies.extend(Policy::BASELINES);
    policies.extend(Policy::ABLATIONS);
    policies
}

/// Executes the selected runs and formats the results as Markdown tables or JSON.
pub fn run_policy(filter: &PolicyFilter, json: bool) -> String {
    let deployments = deployments(filter.deployment);
    let traces = filter
        .trace
        .map_or_else(|| TraceKind::ALL.to_vec(), |trace| vec![trace]);
    let loads = filter
        .load
        .map_or_else(|| load_factors().to_vec(), |load| vec![load]);
    let policies = policies();
    let suite = Suite::run(
        &cases(&deployments, &traces, &loads, &policies),
        filter.seed,
    );
    if json {
        return serde_json::to_string(&suite).unwrap_or_default();
    }
    let mut text = String::new();
    for deployment in deployments {
        let table = goodput_markdown(&suite, deployment, &policies);
        let _ = writeln!(text, "{deployment}, seed {}\n\n{table}", filter.seed);
    }
    text
}

/// Lists the names of benches, traces and policies.
pub fn list() -> String {
    let mut text = "benches: policy views bounds slopes live report\ntraces:".to_owned();
    for trace in TraceKind::ALL {
        let _ = write!(text, " {trace}");
    }
    text.push_str("\npolicies:");
    for policy in policies() {
        let _ = write!(text, " {policy}");
    }
    text.push('\n');
    text
}

/// Measures the tightest bounds that the current code meets, in the format of the committed file.
pub fn measure_bounds() -> String {
    let suite = Suite::run(&perf::bounded_cases(Policy::Own), perf::BOUNDS_SEED);
    serde_json::to_string_pretty(&perf::bounds_from_suite(&suite)).unwrap_or_default()
}

/// Checks the committed bounds. Returns their number if all hold, or a line for each violation.
/// An empty file of bounds is an error.
pub fn check_bounds() -> Result<usize, Vec<String>> {
    let bounds = perf::committed_bounds().map_err(|error| vec![error.to_string()])?;
    let suite = Suite::run(&perf::bounded_cases(Policy::Own), perf::BOUNDS_SEED);
    let violations = perf::broken_bounds(&suite, &bounds, Policy::Own);
    if bounds.is_empty() || !violations.is_empty() {
        return Err(violations);
    }
    Ok(bounds.len())
}
