//! The fault matrix: every fault at every step, in virtual time.
//!
//! Small fakes stand at the interfaces: a log, engines, a plain service and a network. Between
//! them runs the product's own decision code: `feed`, `lease` and `once`. A run injects a fault
//! when a step is first reached and checks the invariants throughout. docs/FAULTS.md is printed
//! from the table here.

mod calls;
mod fakes;
mod instance;
mod invariant;
mod safeguard;
mod table;
mod world;

pub use invariant::{Invariant, Violation};
pub use safeguard::DisabledSafeguard;
pub use table::{Cell, Fault, Step, cells, markdown, skip_reason};
pub use world::{Injection, Outcome, run};
