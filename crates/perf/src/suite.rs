//! All runs of the policy bench, side by side.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use model::Deployment;
use serde::{Deserialize, Serialize};

use crate::bound::upper_bound;
use crate::{Figures, Policy, RunSettings, Trace, TraceKind, run};

/// Loads, in shares of what all engines can do.
pub fn load_factors() -> [f64; 5] {
    [0.6, 0.9, 1.1, 1.5, 2.0]
}

/// Splits that the best fixed roles are taken from, in shares of the engines.
const STATIC_SPLITS: [(f64, f64); 5] = [
    (0.0, 0.0),
    (0.34, 0.0),
    (0.34, 0.34),
    (0.34, 0.66),
    (0.67, 0.33),
];

/// One run to make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Case {
    /// Deployment.
    pub deployment: Deployment,
    /// Trace.
    pub trace: TraceKind,
    /// Load.
    pub load: f64,
    /// Policy.
    pub policy: Policy,
}

/// One run's figures.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct SuiteRow {
    /// Deployment.
    pub deployment: String,
    /// Trace.
    pub trace: String,
    /// Load.
    pub load: f64,
    /// Policy.
    pub policy: String,
    /// Figures.
    pub figures: Figures,
}

/// All figures with what they were made from.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct Suite {
    /// Seed.
    pub seed: u64,
    /// Rows.
    pub rows: Vec<SuiteRow>,
}

/// The runs of all combinations.
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
    /// Makes all runs on as many threads as there are processors; the figures do not depend on it.
    pub fn run(cases: &[Case], seed: u64) -> Self {
        let next = AtomicUsize::new(0);
        let rows = Mutex::new(vec![None; cases.len()]);
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        std::thread::scope(|scope| {
            for _ in 0..threads {
                scope.spawn(|| {
                    loop {
                        let place = next.fetch_add(1, Ordering::Relaxed);
                        let Some(case) = cases.get(place) else {
                            return;
                        };
                        let row = case.run(seed);
                        if let Ok(mut rows) = rows.lock() {
                            rows[place] = Some(row);
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

    /// The figures of one run.
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
        let setting = RunSettings::new(self.policy, self.deployment, seed);
        let mut figures = match self.policy {
            Policy::StaticRoles => self.best_static(&trace, &setting),
            _ => run(&trace, &setting),
        };
        figures.bound = upper_bound(&trace);
        SuiteRow {
            deployment: self.deployment.to_string(),
            trace: self.trace.to_string(),
            load: self.load,
            policy: self.policy.to_string(),
            figures,
        }
    }

    fn best_static(&self, trace: &Trace, setting: &RunSettings) -> Figures {
        let engines = self.deployment.engines() as f64;
        let runs = STATIC_SPLITS.map(|(prefill, decode)| {
            let initial_roles = ((prefill * engines) as usize, (decode * engines) as usize);
            run(
                trace,
                &RunSettings {
                    initial_roles,
                    ..*setting
                },
            )
        });
        let best = runs.into_iter().max_by_key(Figures::good);
        best.unwrap_or_default()
    }
}

/// A table of goodput, as a share of requests, with one row for each trace and load.
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
    let own = |row: &&SuiteRow| row.deployment == name && row.policy == Policy::Own.to_string();
    for row in suite.rows.iter().filter(own) {
        let _ = write!(text, "| {} | {} |", row.trace, row.load);
        let get = |policy| suite.get(&row.deployment, &row.trace, row.load, policy);
        for policy in policies {
            let goodput = get(*policy).map_or(f64::NAN, Figures::goodput);
            let _ = write!(text, " {goodput:.3} |");
        }
        let bound = row.figures.bound as f64 / row.figures.asked().max(1) as f64;
        let greedy = get(Policy::GreedyRoles).map_or(0, |figures| figures.role_changes);
        let _ = writeln!(
            text,
            " {bound:.3} | {} | {greedy} |",
            row.figures.role_changes
        );
    }
    text
}
