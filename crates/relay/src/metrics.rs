//! Metrics; docs/OPERATIONS.md has a table of them.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Buckets of times from a ms to ten seconds, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by route and how they ended.
    pub requests: IntCounterVec,
    /// Repeats asked of the budget.
    pub repeats: IntCounterVec,
    /// Time to an answer's head, by route.
    pub head_s: HistogramVec,
    /// Time to read a prompt apart, by service.
    pub prefill_s: HistogramVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time since the list of upstreams was read from the store, in ms.
    pub list_age_ms: IntGauge,
    /// Upstreams that are known.
    pub upstreams: IntGauge,
    /// Instances that are known and ready.
    pub instances: IntGauge,
    /// Requests whose answers are not out yet.
    pub in_flight: IntGauge,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
}

impl Metrics {
    /// Registers all metrics of one instance.
    ///
    /// # Panics
    /// If two metrics have the same name, which the tests would show.
    pub fn new(instance: &str, zone: &str) -> Self {
        let labels = [("instance", instance), ("zone", zone)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into();
        let registry =
            Registry::new_custom(Some("chicoryrack".to_owned()), Some(labels)).unwrap_or_default();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
            registry.register(Box::new(made.clone())).expect("one each");
            made
        };
        let histogram = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
            let made = HistogramVec::new(options, labels).expect("a valid name");
            registry.register(Box::new(made.clone())).expect("one each");
            made
        };
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).expect("a valid name");
            registry.register(Box::new(made.clone())).expect("one each");
            made
        };
        Self {
            requests: counter("requests_total", "Requests.", &["route", "end"]),
            repeats: counter(
                "repeats_total",
                "Repeats asked of the budget.",
                &["outcome"],
            ),
            head_s: histogram("head_seconds", "Time to an answer's head.", &["route"]),
            prefill_s: histogram("prefill_seconds", "Time to read a prompt.", &["service"]),
            list_age_ms: gauge("list_age_ms", "Age of the list of upstreams."),
            upstreams: gauge("upstreams", "Upstreams known."),
            instances: gauge("instances", "Instances ready."),
            in_flight: gauge("in_flight", "Requests in flight."),
            config_version: gauge("config_version", "Version in force."),
            store_calls: counter("store_calls_total", "Calls.", &["call", "outcome"]),
            registry,
        }
    }

    /// All metrics as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "metrics could not be written");
        }
        text
    }
}
