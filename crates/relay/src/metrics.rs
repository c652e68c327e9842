//! Metrics; docs/OPERATIONS.md has a table of them.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Buckets of times from a ms to ten seconds, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by route and how they ended.
    pub requests: IntCounterVec,
    /// Whole answers by route and whether they were in time.
    pub answers: IntCounterVec,
    /// Requests that were not served, by route and reason.
    pub refusals: IntCounterVec,
    /// Prompts by service, where they are read and what of them is held there.
    pub prompts_placed: IntCounterVec,
    /// Time until a request first goes to an upstream, by route.
    pub time_to_send_s: HistogramVec,
    /// Predicted wait at the upstream that was chosen, by service.
    pub predicted_wait_s: HistogramVec,
    /// Time from a send to the answer's head, by service.
    pub upstream_head_s: HistogramVec,
    /// Orders to engines, by what came of them.
    pub role_orders: IntCounterVec,
    /// Repeats that are left in the window, by service.
    pub retries_left: IntGaugeVec,
    /// Log lines left out since the start, by kind.
    pub lines_dropped: IntGaugeVec,
    /// Time since the configuration was asked for with success, in ms.
    pub config_age_ms: IntGauge,
    /// Time since the load of the instance that was silent for longest was told, in ms.
    pub load_age_ms: IntGauge,
    /// Upstreams that name a limit.
    pub limited_upstreams: IntGauge,
    /// Repeats asked of the budget.
    pub retries: IntCounterVec,
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
    /// Requests that are refused since upstreams end under them.
    pub poison_requests: IntGauge,
    /// Requests whose answers are not out yet.
    pub in_flight: IntGauge,
    /// Calls for the whole fleet, by call and outcome.
    pub singleton_calls: IntCounterVec,
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
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let made = IntGaugeVec::new(Opts::new(name, help), labels).expect("a valid name");
            registry.register(Box::new(made.clone())).expect("one each");
            made
        };
        Self {
            answers: counter("answers_total", "Whole answers.", &["route", "in_time"]),
            refusals: counter("refusals_total", "Not served.", &["route", "reason"]),
            prompts_placed: counter("placed_total", "Prompts.", &["service", "read", "held"]),
            singleton_calls: counter("duties_total", "Calls for the fleet.", &["call", "outcome"]),
            role_orders: counter("orders_total", "Orders to engines.", &["outcome"]),
            time_to_send_s: histogram("own_seconds", "Time to the first send.", &["route"]),
            predicted_wait_s: histogram("wait_seconds", "Predicted wait.", &["service"]),
            upstream_head_s: histogram("upstream_seconds", "Send to head.", &["service"]),
            retries_left: gauges("repeats_left", "Repeats left.", &["service"]),
            lines_dropped: gauges("lines_left_out", "Lines left out.", &["kind"]),
            config_age_ms: gauge("config_age_ms", "Age of the configuration's last read."),
            load_age_ms: gauge("load_age_ms", "Age of the oldest load told."),
            requests: counter("requests_total", "Requests.", &["route", "end"]),
            retries: counter(
                "repeats_total",
                "Repeats asked of the budget.",
                &["outcome"],
            ),
            head_s: histogram("head_seconds", "Time to an answer's head.", &["route"]),
            prefill_s: histogram("prefill_seconds", "Time to read a prompt.", &["service"]),
            list_age_ms: gauge("list_age_ms", "Age of the list of upstreams."),
            limited_upstreams: gauge("limited_upstreams", "Upstreams that name a limit."),
            upstreams: gauge("upstreams", "Upstreams known."),
            instances: gauge("instances", "Instances ready."),
            poison_requests: gauge(
                "poisonous",
                "Requests refused, as upstreams end under them.",
            ),
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
