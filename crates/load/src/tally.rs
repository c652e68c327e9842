//! Counts of request outcomes by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Upper limit of the latency histograms, in ms; longer times count as this.
const MAX_LATENCY_MS: u64 = 120_000;

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Complete and correct answer within the deadline.
    InTime,
    /// Complete and correct answer after the deadline.
    Late,
    /// The answer said that the request has not run.
    Refused,
    /// The request may have run; its answer was lost or said so.
    Unknown,
    /// The answer was incomplete or belonged to another request.
    Wrong,
}

/// Outcome counts and latencies of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassCounts {
    /// Number of requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Requests that ended [`Outcome::InTime`].
    pub in_time: u64,
    /// Requests that ended [`Outcome::Late`].
    pub late: u64,
    /// Requests that ended [`Outcome::Refused`].
    pub refused: u64,
    /// Requests that ended [`Outcome::Unknown`].
    pub unknown: u64,
    /// Requests that ended [`Outcome::Wrong`], and errors from [`Tally::add_wrong`].
    pub wrong: u64,
    /// Median time to the complete answer, in ms.
    pub p50_ms: u64,
    /// 99th percentile of the time to the complete answer, in ms.
    pub p99_ms: u64,
    /// 95th percentile of the time to the first token, in ms; 0 for calls without tokens.
    #[serde(rename = "first_p95_ms")]
    pub first_token_p95_ms: u64,
    /// Requests whose stream broke and was continued at another instance.
    pub resumed: u64,
}

struct ClassRecorder {
    row: ClassCounts,
    total_times: Histogram<u64>,
    first_token_times: Histogram<u64>,
}

impl ClassRecorder {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("bounds are constant and valid");
        Self {
            row: ClassCounts::default(),
            total_times: histogram(),
            first_token_times: histogram(),
        }
    }
}

/// Outcome counts of all classes.
#[derive(Default)]
pub struct Tally {
    classes: BTreeMap<String, ClassRecorder>,
}

impl Tally {
    /// Records the end of one request.
    pub fn add(
        &mut self,
        class: &str,
        outcome: Outcome,
        duration_ms: u64,
        first_token_ms: u64,
        resumed: bool,
    ) {
        let entry = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(ClassRecorder::new);
        let row = &mut entry.row;
        row.requests += 1;
        row.resumed += u64::from(resumed);
        let slot = match outcome {
            Outcome::InTime => &mut row.in_time,
            Outcome::Late => &mut row.late,
            Outcome::Refused => &mut row.refused,
            Outcome::Unknown => &mut row.unknown,
            Outcome::Wrong => &mut row.wrong,
        };
        *slot += 1;
        if matches!(outcome, Outcome::InTime | Outcome::Late) {
            entry.total_times.saturating_record(duration_ms);
            entry.first_token_times.saturating_record(first_token_ms);
        }
    }

    /// Adds errors that are found only after the run, such as a call that ran twice.
    pub fn add_wrong(&mut self, class: &str, count: u64) {
        let entry = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(ClassRecorder::new);
        entry.row.wrong += count;
    }

    /// Counts and latencies by class.
    pub fn rows(&self) -> BTreeMap<String, ClassCounts> {
        let rows = self.classes.iter().map(|(name, class)| {
            let mut row = class.row.clone();
            row.p50_ms = class.total_times.value_at_quantile(0.5);
            row.p99_ms = class.total_times.value_at_quantile(0.99);
            row.first_token_p95_ms = class.first_token_times.value_at_quantile(0.95);
            (name.clone(), row)
        });
        rows.collect()
    }

    /// Total of wrong answers and errors; 0 in a correct run.
    pub fn wrong(&self) -> u64 {
        self.classes.values().map(|class| class.row.wrong).sum()
    }

    /// Total number of requests sent.
    pub fn requests(&self) -> u64 {
        self.classes.values().map(|class| class.row.requests).sum()
    }

    /// Formats the counts as a text table.
    pub fn table(&self) -> String {
        use std::fmt::Write;
        let mut text = format!(
            "{:<10}{:>7}{:>9}{:>6}{:>9}{:>9}{:>7}{:>9}{:>8}{:>8}{:>11}\n",
            "class",
            "asked",
            "in time",
            "late",
            "refused",
            "unknown",
            "wrong",
            "resumed",
            "p50 ms",
            "p99 ms",
            "first p95"
        );
        for (class, row) in self.rows() {
            let _ = writeln!(
                text,
                "{class:<10}{:>7}{:>9}{:>6}{:>9}{:>9}{:>7}{:>9}{:>8}{:>8}{:>11}",
                row.requests,
                row.in_time,
                row.late,
                row.refused,
                row.unknown,
                row.wrong,
                row.resumed,
                row.p50_ms,
                row.p99_ms,
                row.first_token_p95_ms
            );
        }
        text
    }
}
