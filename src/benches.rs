//! What `chicoryrack bench` prints.

use std::fmt::Write;

use derive_more::{Display, FromStr};
use model::Deployment;
use perf::{Policy, Suite, TraceKind, cases, goodput_markdown, load_factors};

/// Benches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, FromStr)]
pub enum Kind {
    /// Goodput and role changes of all policies on all traces.
    #[default]
    #[display("policy")]
    Policy,
    /// Goodput against staleness and number of instances.
    #[display("views")]
    Views,
    /// The committed bounds.
    #[display("bounds")]
    Bounds,
    /// What state, time and bytes cost as sizes grow.
    #[display("slopes")]
    Slopes,
    /// Times of a running deployment.
    #[display("live")]
    Live,
    /// A page with goodput and role changes over time.
    #[display("report")]
    Report,
}

/// Which runs of the policy bench to make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Only this deployment.
    pub deployment: Option<Deployment>,
    /// Only this trace.
    pub trace: Option<TraceKind>,
    /// Only this load.
    pub load: Option<f64>,
    /// Seed.
    pub seed: u64,
}

/// One deployment, or both.
pub fn deployments(only: Option<Deployment>) -> Vec<Deployment> {
    only.map_or_else(
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

/// Makes the chosen runs and gives tables, or JSON.
pub fn policy(choice: &Choice, json: bool) -> String {
    let deployments = deployments(choice.deployment);
    let traces = choice
        .trace
        .map_or_else(|| TraceKind::ALL.to_vec(), |trace| vec![trace]);
    let loads = choice
        .load
        .map_or_else(|| load_factors().to_vec(), |load| vec![load]);
    let policies = policies();
    let suite = Suite::run(
        &cases(&deployments, &traces, &loads, &policies),
        choice.seed,
    );
    if json {
        return serde_json::to_string(&suite).unwrap_or_default();
    }
    let mut text = String::new();
    for deployment in deployments {
        let table = goodput_markdown(&suite, deployment, &policies);
        let _ = writeln!(text, "{deployment}, seed {}\n\n{table}", choice.seed);
    }
    text
}

/// Names of benches, traces and policies.
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

/// Bounds that the present figures would just keep, as the committed file has them.
pub fn new_bounds() -> String {
    let suite = Suite::run(&perf::bounded_cases(Policy::Own), perf::BOUNDS_SEED);
    serde_json::to_string_pretty(&perf::bounds_from_suite(&suite)).unwrap_or_default()
}

/// Checks the committed bounds; gives how many hold, or what is broken.
pub fn check_bounds() -> Result<usize, Vec<String>> {
    let bounds = perf::committed_bounds().map_err(|error| vec![error.to_string()])?;
    let suite = Suite::run(&perf::bounded_cases(Policy::Own), perf::BOUNDS_SEED);
    let broken = perf::broken_bounds(&suite, &bounds, Policy::Own);
    if bounds.is_empty() || !broken.is_empty() {
        return Err(broken);
    }
    Ok(bounds.len())
}
