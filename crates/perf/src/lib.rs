//! Deterministic decision benches, slopes and reports.
