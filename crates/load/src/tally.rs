//! What became of requests, by class.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that is told apart, in ms.
const LONGEST_MS: u64 = 120_000;

/// How one request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole right answer by its deadline.
    InTime,
    /// The whole right answer, after its deadline.
    Late,
    /// It was told that the request has not run.
    Refused,
    /// It was told, or has to assume, that the request may have run.
    Unknown,
    /// It got an answer that is not whole or not its own.
    Wrong,
}

/// Counts of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassCounts {
    /// Requests made.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Whole answers in time.
    pub in_time: u64,
    /// Whole answers that came late.
    pub late: u64,
    /// Refusals that said `not_run`.
    pub refused: u64,
    /// Outcomes that are not known.
    pub unknown: u64,
    /// Answers that were wrong or cut.
    pub wrong: u64,
    /// Median time to the whole answer, in ms.
    pub p50_ms: u64,
    /// 99th percentile of it.
    pub p99_ms: u64,
    /// 95th percentile of the time to the first token, in ms; 0 where there are no tokens.
    #[serde(rename = "first_p95_ms")]
    pub first_token_p95_ms: u64,
    /// Answers that were resumed at another instance.
    pub resumed: u64,
}

struct Class {
    row: ClassCounts,
    whole: Histogram<u64>,
    first: Histogram<u64>,
}

impl Class {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(LONGEST_MS, 3).expect("bounds are constant and valid");
        Self {
            row: ClassCounts::default(),
            whole: histogram(),
            first: histogram(),
        }
    }
}

/// Counts of all classes.
#[derive(Default)]
pub struct Tally {
    classes: BTreeMap<String, Class>,
}

impl Tally {
    /// Counts one request.
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
            .or_insert_with(Class::new);
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
            entry.whole.saturating_record(duration_ms);
            entry.first.saturating_record(first_token_ms);
        }
    }

    /// Counts a wrong that only the whole run shows, such as a call that ran twice.
    pub fn add_wrong(&mut self, class: &str, count: u64) {
        let entry = self
            .classes
            .entry(class.to_owned())
            .or_insert_with(Class::new);
        entry.row.wrong += count;
    }

    /// Rows by class.
    pub fn rows(&self) -> BTreeMap<String, ClassCounts> {
        let rows = self.classes.iter().map(|(name, class)| {
            let mut row = class.row.clone();
            row.p50_ms = class.whole.value_at_quantile(0.5);
            row.p99_ms = class.whole.value_at_quantile(0.99);
            row.first_token_p95_ms = class.first.value_at_quantile(0.95);
            (name.clone(), row)
        });
        rows.collect()
    }

    /// Requests whose answers were wrong or cut, which must be none.
    pub fn wrong(&self) -> u64 {
        self.classes.values().map(|class| class.row.wrong).sum()
    }

    /// Requests made.
    pub fn requests(&self) -> u64 {
        self.classes.values().map(|class| class.row.requests).sum()
    }

    /// A table for people.
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
