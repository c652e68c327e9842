//! Figures of one run.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest time that is told apart, in ms.
const LONGEST_MS: u64 = 60_000;

/// Figures of one class.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct ClassFigures {
    /// Requests.
    pub asked: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Answers that were late or abandoned: work for nothing.
    pub late: u64,
    /// Refusals.
    pub refused: u64,
    /// Median time to the whole answer in ms, of those that came.
    pub p50_ms: u64,
    /// 99th percentile of it.
    pub p99_ms: u64,
    /// 95th percentile of the time to the first token.
    pub first_p95_ms: u64,
    /// 95th percentile of the mean time between tokens.
    pub between_p95_ms: u64,
}

/// Length of one slot of the series over time.
pub(crate) const SLOT_MS: f64 = 2_500.0;

/// What happened in one slot of time, by the arrival of requests.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Slot {
    /// Requests.
    pub asked: u64,
    /// Whole answers in time.
    pub good: u64,
    /// Role changes.
    pub role_changes: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Figures {
    /// By class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Whole answers in time by member.
    pub good_by_member: Vec<u64>,
    /// Requests by member.
    pub asked_by_member: Vec<u64>,
    /// Figures over time.
    #[serde(default)]
    pub series: Vec<Slot>,
    /// Role changes.
    pub role_changes: u64,
    /// Engine time lost to them, in s.
    pub lost_s: f64,
    /// Bytes that instances told each other, for each instance and second.
    pub told_bytes: f64,
    /// Share of the upper bound, where one was worked out.
    pub bound: u64,
}

impl Figures {
    /// Requests.
    pub fn asked(&self) -> u64 {
        self.classes.values().map(|class| class.asked).sum()
    }

    /// Whole answers in time.
    pub fn good(&self) -> u64 {
        self.classes.values().map(|class| class.good).sum()
    }

    /// Whole answers in time as a share of requests.
    pub fn goodput(&self) -> f64 {
        self.good() as f64 / self.asked().max(1) as f64
    }

    /// Late or abandoned answers.
    pub fn late(&self) -> u64 {
        self.classes.values().map(|class| class.late).sum()
    }

    /// Refusals.
    pub fn refused(&self) -> u64 {
        self.classes.values().map(|class| class.refused).sum()
    }
}

struct Times {
    whole: Histogram<u64>,
    first: Histogram<u64>,
    between: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let make =
            || Histogram::new_with_max(LONGEST_MS, 3).expect("bounds are constant and valid");
        Self {
            whole: make(),
            first: make(),
            between: make(),
        }
    }
}

/// Collects figures.
#[derive(Default)]
pub(crate) struct Counter {
    pub(crate) figures: Figures,
    times: BTreeMap<String, Times>,
}

/// How one request ended.
pub(crate) struct Ended<'a> {
    pub(crate) class: &'a str,
    pub(crate) member: usize,
    pub(crate) arrived_ms: f64,
    pub(crate) took_ms: f64,
    pub(crate) first_ms: f64,
    pub(crate) tokens: u32,
    pub(crate) in_time: bool,
}

impl Counter {
    pub(crate) fn new(members: usize) -> Self {
        let mut counter = Self::default();
        counter.figures.good_by_member = vec![0; members];
        counter.figures.asked_by_member = vec![0; members];
        counter
    }

    fn class(&mut self, class: &str) -> &mut ClassFigures {
        self.figures.classes.entry(class.to_owned()).or_default()
    }

    fn slot(&mut self, at_ms: f64) -> &mut Slot {
        let place = (at_ms / SLOT_MS) as usize;
        let series = &mut self.figures.series;
        if series.len() <= place {
            series.resize(place + 1, Slot::default());
        }
        &mut series[place]
    }

    pub(crate) fn role_changed(&mut self, at_ms: f64) {
        self.figures.role_changes += 1;
        self.slot(at_ms).role_changes += 1;
    }

    pub(crate) fn asked(&mut self, at_ms: f64, class: &str, member: usize) {
        self.slot(at_ms).asked += 1;
        self.class(class).asked += 1;
        self.figures.asked_by_member[member] += 1;
    }

    pub(crate) fn refused(&mut self, class: &str) {
        self.class(class).refused += 1;
    }

    pub(crate) fn abandoned(&mut self, class: &str) {
        self.class(class).late += 1;
    }

    pub(crate) fn ended(&mut self, ended: &Ended) {
        if ended.in_time {
            self.class(ended.class).good += 1;
            self.slot(ended.arrived_ms).good += 1;
            self.figures.good_by_member[ended.member] += 1;
        } else {
            self.class(ended.class).late += 1;
        }
        let times = self
            .times
            .entry(ended.class.to_owned())
            .or_insert_with(Times::new);
        times.whole.saturating_record(ended.took_ms as u64);
        times.first.saturating_record(ended.first_ms as u64);
        let gaps = f64::from(ended.tokens.saturating_sub(1)).max(1.0);
        times
            .between
            .saturating_record(((ended.took_ms - ended.first_ms) / gaps) as u64);
    }

    pub(crate) fn finish(mut self) -> Figures {
        for (class, times) in &self.times {
            let row = self.figures.classes.entry(class.clone()).or_default();
            row.p50_ms = times.whole.value_at_quantile(0.5);
            row.p99_ms = times.whole.value_at_quantile(0.99);
            row.first_p95_ms = times.first.value_at_quantile(0.95);
            row.between_p95_ms = times.between.value_at_quantile(0.95);
        }
        self.figures
    }
}
