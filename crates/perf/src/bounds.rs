//! Regression bounds on the deterministic figures.

use serde::{Deserialize, Serialize};

use crate::{Case, Policy, Suite, TraceKind, cases};
use model::Deployment;

/// The committed bounds.
const COMMITTED: &str = include_str!("../bounds.json");

/// Loads that bounds are kept for.
const LOADS: [f64; 2] = [1.1, 1.5];

/// Goodput that a run may lose before it counts as worse, as a share of requests.
const TOLERANCE: f64 = 0.004;

/// Seed of the bounded runs.
pub const BOUNDS_SEED: u64 = 1;

/// What one run must keep.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Bound {
    /// Deployment.
    pub deployment: String,
    /// Trace.
    pub trace: String,
    /// Load.
    pub load: f64,
    /// Least goodput, as a share of requests.
    pub least_goodput: f64,
    /// Most role changes.
    pub most_role_changes: u64,
}

/// The runs that bounds are kept for, made with some policy.
pub fn bounded_cases(policy: Policy) -> Vec<Case> {
    let deployments = [Deployment::Annabhandar, Deployment::Lakeshore];
    cases(&deployments, &TraceKind::ALL, &LOADS, &[policy])
}

/// The committed bounds.
pub fn committed_bounds() -> Result<Vec<Bound>, serde_json::Error> {
    serde_json::from_str(COMMITTED)
}

/// Bounds that the figures of a suite would just keep.
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

/// What a suite's runs of one policy break, a line each; a bound without a run is broken too.
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
