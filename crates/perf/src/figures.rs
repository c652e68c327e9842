//! Figures of a run of the policy bench.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Upper limit of the latency histograms, in ms; longer times count as this.
const MAX_LATENCY_MS: u64 = 60_000;

/// Figures of one request class.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct ClassFigures {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of complete answers within the deadline.
    pub good: u64,
    /// Number of answers that were late or abandoned, so that their engine time was wasted.
    pub late: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Median time to the complete answer in ms, without abandoned answers.
    pub p50_ms: u64,
    /// 99th percentile of the time to the complete answer, in ms.
    pub p99_ms: u64,
    /// 95th percentile of the time to the first token, in ms.
    #[serde(rename = "first_p95_ms")]
    pub first_token_p95_ms: u64,
    /// 95th percentile of an answer's mean time between tokens, in ms.
    #[serde(rename = "between_p95_ms")]
    pub inter_token_p95_ms: u64,
}

/// Length of a slot in the time series, in ms.
pub(crate) const SLOT_MS: f64 = 2_500.0;

/// Slot of the time series. Requests count in the slot of their arrival.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Slot {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Number of complete answers within the deadline.
    pub good: u64,
    /// Number of role changes ordered.
    pub role_changes: u64,
}

/// Figures of one run.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Figures {
    /// Figures by request class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Complete answers within the deadline, by member.
    pub good_by_member: Vec<u64>,
    /// Number of requests, by member.
    #[serde(rename = "asked_by_member")]
    pub requests_by_member: Vec<u64>,
    /// Time series; empty if a stored result has none.
    #[serde(default)]
    pub series: Vec<Slot>,
    /// Number of role changes ordered.
    pub role_changes: u64,
    /// Engine time lost to role changes, in s.
    #[serde(rename = "lost_s")]
    pub role_change_s: f64,
    /// Gossip sent per instance and second, in bytes.
    #[serde(rename = "told_bytes")]
    pub gossip_bytes: f64,
    /// Upper bound on the number of complete answers within the deadline; 0 if not computed.
    #[serde(rename = "bound")]
    pub upper_bound: u64,
}

impl Figures {
    /// Number of requests.
    pub fn requests(&self) -> u64 {
        self.classes.values().map(|class| class.requests).sum()
    }

    /// Number of complete answers within the deadline.
    pub fn good(&self) -> u64 {
        self.classes.values().map(|class| class.good).sum()
    }

    /// Share of requests with a complete answer within the deadline.
    pub fn goodput(&self) -> f64 {
        self.good() as f64 / self.requests().max(1) as f64
    }

    /// Number of late or abandoned answers.
    pub fn late(&self) -> u64 {
        self.classes.values().map(|class| class.late).sum()
    }

    /// Number of refused requests.
    pub fn refused(&self) -> u64 {
        self.classes.values().map(|class| class.refused).sum()
    }
}

struct Histograms {
    total: Histogram<u64>,
    first_token: Histogram<u64>,
    inter_token: Histogram<u64>,
}

impl Histograms {
    fn new() -> Self {
        let make =
            || Histogram::new_with_max(MAX_LATENCY_MS, 3).expect("bounds are constant and valid");
        Self {
            total: make(),
            first_token: make(),
            inter_token: make(),
        }
    }
}

/// Collects the figures during a run.
#[derive(Default)]
pub(crate) struct Recorder {
    pub(crate) figures: Figures,
    histograms: BTreeMap<String, Histograms>,
}

/// End of a request that got its complete answer.
pub(crate) struct Completion<'a> {
    pub(crate) class: &'a str,
    pub(crate) member: usize,
    pub(crate) arrived_ms: f64,
    pub(crate) duration_ms: f64,
    pub(crate) first_token_ms: f64,
    pub(crate) tokens: u32,
    pub(crate) in_time: bool,
}

impl Recorder {
    pub(crate) fn new(members: usize) -> Self {
        let mut recorder = Self::default();
        recorder.figures.good_by_member = vec![0; members];
        recorder.figures.requests_by_member = vec![0; members];
        recorder
    }

    fn class(&mut self, class: &str) -> &mut ClassFigures {
        self.figures.classes.entry(class.to_owned()).or_default()
    }

    fn slot(&mut self, at_ms: f64) -> &mut Slot {
        let index = (at_ms / SLOT_MS) as usize;
        let series = &mut self.figures.series;
        if series.len() <= index {
            series.resize(index + 1, Slot::default());
        }
        &mut series[index]
    }

    pub(crate) fn record_role_change(&mut self, at_ms: f64) {
        self.figures.role_changes += 1;
        self.slot(at_ms).role_changes += 1;
    }

    pub(crate) fn record_arrival(&mut self, at_ms: f64, class: &str, member: usize) {
        self.slot(at_ms).requests += 1;
        self.class(class).requests += 1;
        self.figures.requests_by_member[member] += 1;
    }

    pub(crate) fn record_refusal(&mut self, class: &str) {
        self.class(class).refused += 1;
    }

    pub(crate) fn record_abandoned(&mut self, class: &str) {
        self.class(class).late += 1;
    }

    pub(crate) fn record_completion(&mut self, completion: &Completion) {
        if completion.in_time {
            self.class(completion.class).good += 1;
            self.slot(completion.arrived_ms).good += 1;
            self.figures.good_by_member[completion.member] += 1;
        } else {
            self.class(completion.class).late += 1;
        }
        let histograms = self
            .histograms
            .entry(completion.class.to_owned())
            .or_insert_with(Histograms::new);
        histograms
            .total
            .saturating_record(completion.duration_ms as u64);
        histograms
            .first_token
            .saturating_record(completion.first_token_ms as u64);
        let gaps = f64::from(completion.tokens.saturating_sub(1)).max(1.0);
        histograms.inter_token.saturating_record(
            ((completion.duration_ms - completion.first_token_ms) / gaps) as u64,
        );
    }

    pub(crate) fn finish(mut self) -> Figures {
        for (class, histograms) in &self.histograms {
            let row = self.figures.classes.entry(class.clone()).or_default();
            row.p50_ms = histograms.total.value_at_quantile(0.5);
            row.p99_ms = histograms.total.value_at_quantile(0.99);
            row.first_token_p95_ms = histograms.first_token.value_at_quantile(0.95);
            row.inter_token_p95_ms = histograms.inter_token.value_at_quantile(0.95);
        }
        self.figures
    }
}
