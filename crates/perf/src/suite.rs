//! Runs of the policy bench and their table.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use model::Deployment;
use serde::{Deserialize, Serialize};

use crate::bound::upper_bound;
use crate::{Figures, Policy, RunSettings, Trace, TraceKind, run};

/// Loads of the bench, as shares of the engines' capacity.
pub fn load_factors() -> [f64; 5] {
    [0.6, 0.9, 1.1, 1.5, 2.0]
}

/// Shares of prefill and decode engines among which the best fixed split is chosen.
const STATIC_SPLITS: [(f64, f64); 5] = [
    (0.0, 0.0),
    (0.34, 0.0),
    (0.34, 0.34),
    (0.34, 0.66),
    (0.67, 0.33),
];

/// Parameters of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Case {
    /// Deployment to simulate.
    pub deployment: Deployment,
    /// Kind of the trace.
    pub trace: TraceKind,
    /// Load, as a share of the engines' capacity.
    pub load: f64,
    /// Policy to run.
    pub policy: Policy,
}

/// Parameters and figures of one run.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct SuiteRow {
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the trace.
    pub trace: String,
    /// Load, as a share of the engines' capacity.
    pub load: f64,
    /// Name of the policy.
    pub policy: String,
    /// Figures of the run.
    pub figures: Figures,
}

/// Results of several runs with the same seed.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Suite {
    /// Seed of all runs.
    pub seed: u64,
    /// Results, in the order of the cases.
    pub rows: Vec<SuiteRow>,
}

/// All combinations of the given parameters.
pub fn cases(
    deployments: &[Deployment],
    traces: &[TraceKind],
    loads: &[f64],
    policies: &[Policy],
) -> Vec<Case> {
    let mut cases = Vec::new();
    for &deployment in deployments {
        for &trace in traces {
            for &load in loads {
                cases.extend(policies.iter().map(|&policy| Case {
                    deployment,
                    trace,
                    load,
                    policy,
                }));
            }
        }
    }
    cases
}

impl Suite {
    /// Runs all cases, in parallel on all processors. The figures do not depend on the number of
    /// threads.
    pub fn run(cases: &[Case], seed: u64) -> Self {
        let next = AtomicUsize::new(0);
        let rows = Mutex::new(vec![None; cases.len()]);
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        let Some(case) = cases.get(index) else {
                            return;
                        };
                        let row = case.run(seed);
                        if let Ok(mut rows) = rows.lock() {
                            rows[index] = Some(row);
                        }
                    }
                });
            }
        });
        let rows = rows.into_inner().unwrap_or_default();
        Self {
            seed,
            rows: rows.into_iter().flatten().collect(),
        }
    }

    /// Figures of one run; `None` if the suite does not have it.
    pub fn get(
        &self,
        deployment: &str,
        trace: &str,
        load: f64,
        policy: Policy,
    ) -> Option<&Figures> {
        let policy = policy.to_string();
        let row = self.rows.iter().find(|row| {
            row.deployment == deployment
                && row.trace == trace
                && (row.load - load).abs() < 1e-9
                && row.policy == policy
        });
        row.map(|row| &row.figures)
    }
}

impl Case {
    fn run(&self, seed: u64) -> SuiteRow {
        let trace = Trace::new(self.trace, self.deployment, self.load, seed);
        let settings = RunSettings::new(self.policy, self.deployment, seed);
        let mut figures = match self.policy {
            Policy::StaticRoles => self.best_static(&trace, &settings),
            _ => run(&trace, &settings),
        };
        figures.upper_bound = upper_bound(&trace);
        SuiteRow {
            deployment: self.deployment.to_string(),
            trace: self.trace.to_string(),
            load: self.load,
            policy: self.policy.to_string(),
            figures,
        }
    }

    fn best_static(&self, trace: &Trace, settings: &RunSettings) -> Figures {
        let engines = self.deployment.engines() as f64;
        let runs = STATIC_SPLITS.map(|(prefill, decode)| {
            let initial_roles = ((prefill * engines) as usize, (decode * engines) as usize);
            run(
                trace,
                &RunSettings {
                    initial_roles,
                    ..*settings
                },
            )
        });
        let best = runs.into_iter().max_by_key(Figures::good);
        best.unwrap_or_default()
    }
}

/// Renders a Markdown table of goodput, with a row for each trace and load.
pub fn goodput_markdown(suite: &Suite, deployment: Deployment, policies: &[Policy]) -> String {
    use std::fmt::Write;
    let mut text = "| trace | load |".to_owned();
    for policy in policies {
        let _ = write!(text, " {policy} |");
    }
    text.push_str(" upper bound | role changes | greedy's |\n| --- | ---: |");
    text.push_str(&" ---: |".repeat(policies.len() + 3));
    text.push('\n');
    let name = deployment.to_string();
    let is_under_test =
        |row: &&SuiteRow| row.deployment == name && row.policy == Policy::Own.to_string();
    for row in suite.rows.iter().filter(is_under_test) {
        let _ = write!(text, "| {} | {} |", row.trace, row.load);
        let get = |policy| suite.get(&row.deployment, &row.trace, row.load, policy);
        for policy in policies {
            let goodput = get(*policy).map_or(f64::NAN, Figures::goodput);
            let _ = write!(text, " {goodput:.3} |");
        }
        let bound = row.figures.upper_bound as f64 / row.figures.requests().max(1) as f64;
        let greedy = get(Policy::GreedyRoles).map_or(0, |figures| figures.role_changes);
        let _ = writeln!(
            text,
            " {bound:.3} | {} | {greedy} |",
            row.figures.role_changes
        );
    }
    text
}
