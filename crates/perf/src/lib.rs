//! Deterministic policy benches, cost measurements and reports.
//!
//! The policy bench runs the decision code of `plan` in virtual time against the engines of
//! `model`. With the same seed it gives the same figures on every machine. See docs/BENCH.md.

mod bound;
mod bounds;
mod engine;
mod event_queue;
mod figures;
mod greedy;
mod instance;
mod policy;
mod report;
mod run;
mod slopes;
mod staleness;
mod suite;
mod trace;

pub use bounds::{
    BOUNDS_SEED, Bound, bounded_cases, bounds_from_suite, broken_bounds, committed_bounds,
};
pub use figures::{ClassFigures, Figures, Slot};
pub use policy::Policy;
pub use report::{ReportError, report};
pub use run::{RunSettings, run};
pub use slopes::{Fit, slopes, slopes_markdown};
pub use staleness::staleness_markdown;
pub use suite::{Case, Suite, SuiteRow, cases, goodput_markdown, load_factors};
pub use trace::{Arrival, EngineEvent, Trace, TraceKind};
