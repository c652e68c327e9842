//! Metrics of an instance. Answers that met their deadline are counted separately from late ones.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets from 0.1 ms to one minute, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.000_1, 0.000_25, 0.000_5, 0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 15.0, 60.0,
];

/// All metrics of an instance. docs/OPERATIONS.md lists them.
pub(crate) struct Metrics {
    registry: Registry,
    /// Answers by class and by whether they met their deadline.
    pub(crate) answers: IntCounterVec,
    /// Refusals by code.
    pub(crate) refusals: IntCounterVec,
    /// Calls that ended without a known outcome.
    pub(crate) unknown_outcomes: IntCounterVec,
    /// Answers that belonged to another request, and repeated tokens.
    pub(crate) stray_answers: IntCounterVec,
    /// Retries, by reason.
    pub(crate) retries: IntCounterVec,
    /// Time to the first token.
    pub(crate) first_token: HistogramVec,
    /// Time spent on a request within the instance.
    pub(crate) processing_time: HistogramVec,
    /// Requests in flight.
    pub(crate) in_flight: IntGauge,
    /// Version of the bundle in force.
    pub(crate) bundle_version: IntGauge,
    /// First log offset that is not applied.
    pub(crate) log_offset: IntGauge,
    /// Records since the most recent snapshot.
    pub(crate) records_since_snapshot: IntGauge,
    /// Whether the log is reachable.
    pub(crate) log_up: IntGauge,
    /// Leases held, by group.
    pub(crate) leases_held: IntGaugeVec,
    /// Orders sent, by kind.
    pub(crate) orders: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new(instance: &str, zone: &str) -> Self {
        let labels = [("instance", instance), ("zone", zone)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into();
        let registry =
            Registry::new_custom(Some("chicoryrack".to_owned()), Some(labels)).unwrap_or_default();
        Self {
            answers: counter(
                &registry,
                "answers_total",
                "Whole answers.",
                &["class", "in_time"],
            ),
            refusals: counter(&registry, "refusals_total", "Refusals.", &["code"]),
            unknown_outcomes: counter(
                &registry,
                "unknown_total",
                "Calls of unknown outcome.",
                &["upstream"],
            ),
            stray_answers: counter(
                &registry,
                "strays_total",
                "Late or crossed answers.",
                &["kind"],
            ),
            retries: counter(&registry, "retries_total", "Further attempts.", &["reason"]),
            first_token: histogram(
                &registry,
                "first_token_seconds",
                "Time to first token.",
                &["class"],
            ),
            processing_time: histogram(
                &registry,
                "own_seconds",
                "Time spent in the instance.",
                &["step"],
            ),
            in_flight: gauge(&registry, "in_flight", "Requests in flight."),
            bundle_version: gauge(&registry, "bundle_version", "Version in force."),
            log_offset: gauge(&registry, "log_offset", "First offset not applied."),
            records_since_snapshot: gauge(
                &registry,
                "records_since_snapshot",
                "Not in a snapshot.",
            ),
            log_up: gauge(&registry, "log_up", "Whether the log answers."),
            leases_held: {
                let opts = Opts::new("leases_held", "Leases held.");
                register(&registry, IntGaugeVec::new(opts, &["group"]))
            },
            orders: counter(&registry, "orders_total", "Orders given.", &["kind"]),
            registry,
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {error}");
        }
        text
    }
}

/// Registers a metric. Names and labels are constants of this file, so a failure is a bug in it.
fn register<M: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    metric: prometheus::Result<M>,
) -> M {
    let metric = metric.expect("metric names and labels are well formed");
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric is registered once");
    metric
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    register(registry, IntCounterVec::new(Opts::new(name, help), labels))
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(registry, IntGauge::new(name, help))
}

fn histogram(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
    register(registry, HistogramVec::new(opts, labels))
}
