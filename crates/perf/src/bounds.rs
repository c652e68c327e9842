//! Regression bounds on the figures of the policy bench.

use serde::{Deserialize, Serialize};

use crate::{Case, Policy, Suite, TraceKind, cases};
use model::Deployment;

/// Contents of the committed `bounds.json`.
const BOUNDS_JSON: &str = include_str!("../bounds.json");

/// Loads that have bounds, as shares of the engines' capacity.
const LOADS: [f64; 2] = [1.1, 1.5];

/// Loss of goodput that does not count as a regression, as a share of requests.
const TOLERANCE: f64 = 0.004;

/// Seed of the runs that have bounds.
pub const BOUNDS_SEED: u64 = 1;

/// Bounds of one run.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Bound {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the trace.
    pub trace: String,
    /// Load, as a share of the engines' capacity.
    pub load: f64,
    /// Minimum goodput, as a share of requests.
    pub least_goodput: f64,
    /// Maximum number of role changes.
    pub most_role_changes: u64,
}

/// The runs that have bounds, with the given policy.
pub fn bounded_cases(policy: Policy) -> Vec<Case> {
    let deployments = [Deployment::Annabhandar, Deployment::Lakeshore];
    cases(&deployments, &TraceKind::ALL, &LOADS, &[policy])
}

/// Parses the committed bounds.
pub fn committed_bounds() -> Result<Vec<Bound>, serde_json::Error> {
    serde_json::from_str(BOUNDS_JSON)
}

/// Tightest bounds that the figures of a suite keep, with the tolerance applied.
pub fn bounds_from_suite(suite: &Suite) -> Vec<Bound> {
    let rows = suite.rows.iter();
    rows.map(|row| Bound {
        deployment: row.deployment.clone(),
        trace: row.trace.clone(),
        load: row.load,
        least_goodput: ((row.figures.goodput() - TOLERANCE) * 1e4).floor() / 1e4,
        most_role_changes: row.figures.role_changes,
    })
    .collect()
}

/// Describes each bound that the runs of a policy break. A bound without a run is broken too.
pub fn broken_bounds(suite: &Suite, bounds: &[Bound], policy: Policy) -> Vec<String> {
    let mut lines = Vec::new();
    for bound in bounds {
        let name = format!("{} {} {}", bound.deployment, bound.trace, bound.load);
        let Some(figures) = suite.get(&bound.deployment, &bound.trace, bound.load, policy) else {
            lines.push(format!("{name}: not run"));
            continue;
        };
        if figures.goodput() < bound.least_goodput {
            let (goodput, least) = (figures.goodput(), bound.least_goodput);
            lines.push(format!("{name}: goodput {goodput:.4} is below {least:.4}"));
        }
        if figures.role_changes > bound.most_role_changes {
            let (changes, most) = (figures.role_changes, bound.most_role_changes);
            lines.push(format!("{name}: {changes} role changes, more than {most}"));
        }
    }
    lines
}
