//! Prometheus metrics of an instance; docs/OPERATIONS.md lists them.

mod past_bound;

use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

pub use self::past_bound::{PastBound, PastBoundMetrics};

/// Histogram buckets for times, in seconds.
const TIME_BUCKETS: [f64; 11] = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0, 10.0];

/// Upper bounds of the classes of prompt lengths, in tokens.
const PROMPT_CLASSES: [(u32, &str); 5] = [
    (256, "256"),
    (1_024, "1024"),
    (4_096, "4096"),
    (16_384, "16384"),
    (65_536, "65536"),
];

/// Label of the class that a prompt's length belongs to.
fn prompt_class(tokens: u32) -> &'static str {
    let class = PROMPT_CLASSES.iter().find(|(most, _)| tokens <= *most);
    class.map_or("more", |(_, label)| label)
}

/// Metrics of how streams end and go on.
pub struct StreamMetrics {
    /// Ends that looked orderly on their connections, by service, framing and place in the events.
    pub ends: IntCounterVec,
    /// Streams that went on after a break, by service, who made them go on, and whether at the version that began them.
    pub continued: IntCounterVec,
}

impl StreamMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            ends: all.counter(
                "stream_ends_total",
                "Ends of streams that looked orderly on their connections.",
                &["service", "framing", "at"],
            ),
            continued: all.counter(
                "continued_streams_total",
                "Streams that went on after a break.",
                &["service", "by", "version"],
            ),
        }
    }
}

/// Metrics of what was learned of engines, by service and time.
pub struct LearnedMetrics {
    /// Learned times, in seconds.
    pub times_s: GaugeVec,
    /// Answers from which they were learned.
    pub answers: IntGaugeVec,
    /// Time since the last such answer, in ms.
    pub age_ms: IntGaugeVec,
}

impl LearnedMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            times_s: all.float_gauges(
                "learned_seconds",
                "Learned times of engines.",
                &["service", "time"],
            ),
            answers: all.gauges(
                "learned_answers",
                "Answers from which times were learned.",
                &["service", "time"],
            ),
            age_ms: all.gauges(
                "learned_age_ms",
                "Age of the last such answer.",
                &["service", "time"],
            ),
        }
    }
}

/// Metrics of traffic within and between availability zones.
pub struct ZoneMetrics {
    /// Bytes of request bodies sent to upstreams, by service and zone: `own` or `other`.
    pub body_bytes: IntCounterVec,
    /// Placements by service, where the prompt is prefilled, and zone.
    pub placements: IntCounterVec,
}

impl ZoneMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            body_bytes: all.counter(
                "body_bytes_total",
                "Bytes of bodies sent to upstreams.",
                &["service", "zone"],
            ),
            placements: all.counter(
                "zone_placements_total",
                "Placements by availability zone.",
                &["service", "read", "zone"],
            ),
        }
    }
}

/// Metrics of prompt parts that may end upstreams.
pub struct PartMetrics {
    /// Parts whose requests are only sent as trials, and parts whose requests are refused.
    pub suspected: IntGaugeVec,
    /// Trials by this instance, by outcome.
    pub trials: IntCounterVec,
}

impl PartMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            suspected: all.gauges(
                "suspected_parts",
                "Prompt parts that may end upstreams.",
                &["state"],
            ),
            trials: all.counter("part_trials_total", "Trials of prompt parts.", &["outcome"]),
        }
    }
}

/// Metrics of the planned number of engines, by service.
pub struct ScalingMetrics {
    /// Engines: forecast demand of each kind, the target, those that serve.
    pub engines: GaugeVec,
    /// Whether a reason is the one for the target.
    pub reason: IntGaugeVec,
}

impl ScalingMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            engines: all.float_gauges(
                "scaling_engines",
                "Engines forecast, planned and serving.",
                &["service", "figure"],
            ),
            reason: all.gauges(
                "scaling_reason",
                "Reason for the planned number of engines.",
                &["service", "reason"],
            ),
        }
    }
}

/// Metrics of the paces that upstreams report.
pub struct PaceMetrics {
    /// Figures that were ignored because they are nonsense.
    pub ignored: IntCounter,
    /// Upstreams by service and speed.
    pub upstreams: IntGaugeVec,
}

impl PaceMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            ignored: all.plain_counter(
                "pace_figures_ignored_total",
                "Reported paces that were ignored.",
            ),
            upstreams: all.gauges(
                "upstreams_by_speed",
                "Upstreams by the lasting part of their pace.",
                &["service", "speed"],
            ),
        }
    }
}

/// Metrics of generations that wait for room, by service.
pub struct WaitingMetrics {
    /// Requests that wait now.
    pub requests: IntGaugeVec,
    /// Time for which requests waited that were then placed, in seconds.
    pub waited_s: HistogramVec,
    /// Requests refused by the queue, by cause.
    pub refusals: IntCounterVec,
}

impl WaitingMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            requests: all.gauges("waiting_requests", "Requests that wait.", &["service"]),
            waited_s: all.histogram("waited_seconds", "Time waited for room.", &["service"]),
            refusals: all.counter(
                "queue_refusals_total",
                "Requests refused by the queue.",
                &["service", "cause"],
            ),
        }
    }
}

/// Metrics of shares of engine time, by workspace: those that use most, and the others together.
pub struct ShareMetrics {
    /// Engines that the requests of a workspace keep busy, fleet-wide.
    pub used_engines: GaugeVec,
    /// Engines that the workspace is entitled to, or requests if that is less.
    pub share_engines: GaugeVec,
    /// Its requests that this instance refused for its share since the start.
    pub refused: IntGaugeVec,
    /// Whether room is short at any service.
    pub is_short: IntGauge,
}

impl ShareMetrics {
    fn new(all: &Registrar) -> Self {
        Self {
            used_engines: all.float_gauges(
                "share_used_engines",
                "Engines that the requests of a workspace keep busy.",
                &["workspace"],
            ),
            share_engines: all.float_gauges(
                "share_engines",
                "Engines that a workspace is entitled to.",
                &["workspace"],
            ),
            refused: all.gauges(
                "share_refused",
                "Requests refused for the share of their workspace.",
                &["workspace"],
            ),
            is_short: all.gauge("room_short", "Whether room is short."),
        }
    }

    /// Removes the figures of all workspaces, before the present ones are set.
    pub fn clear(&self) {
        self.used_engines.reset();
        self.share_engines.reset();
        self.refused.reset();
    }
}

/// All metrics of an instance.
pub struct Metrics {
    registry: Registry,
    /// Requests by route and end: a status, or `left` if the caller closed its connection.
    requests: IntCounterVec,
    /// Requests that generate text, by route, class of prompt lengths, and end.
    generations: IntCounterVec,
    /// Ends of streams, and streams that went on after them.
    pub streams: StreamMetrics,
    /// Ends of connections of callers and peers, by what was on them and the cause.
    pub connections_ended: IntCounterVec,
    /// Whether this instance is cut off from the upstreams of a service, by service.
    pub cut_off: IntGaugeVec,
    /// Inquiries into upstreams that lost an answer, by service and what they found.
    pub inquiries: IntCounterVec,
    /// Requests handed over to peers by service and outcome.
    pub handed_over: IntCounterVec,
    /// Requests taken over from peers by service.
    pub taken_over: IntCounterVec,
    /// What was learned of engines.
    pub learned: LearnedMetrics,
    /// Complete answers by route and whether they were in time.
    pub answers: IntCounterVec,
    /// Refused requests by route and reason.
    pub refusals: IntCounterVec,
    /// Prompts by service, whether they are prefilled apart, and whether a part is cached or copied there.
    pub prompts_placed: IntCounterVec,
    /// Time from a request's arrival to its first send, by route, in seconds.
    pub time_to_send_s: HistogramVec,
    /// Predicted wait at the chosen upstream, by service, in seconds.
    pub predicted_wait_s: HistogramVec,
    /// Time from a send to the answer's head, by service, in seconds.
    pub upstream_head_s: HistogramVec,
    /// The planned number of engines.
    pub scaling: ScalingMetrics,
    /// Role orders to engines by outcome.
    pub role_orders: IntCounterVec,
    /// Role changes that engines accepted by reason.
    pub role_changes: IntCounterVec,
    /// Retries left in the current window by service.
    pub retries_left: IntGaugeVec,
    /// Log lines dropped since the start by kind.
    pub lines_dropped: IntGaugeVec,
    /// Time since the configuration was last read successfully, in ms.
    pub config_age_ms: IntGauge,
    /// Age of the load report of the instance that was silent for longest, in ms.
    pub load_age_ms: IntGauge,
    /// Upstreams that announce a rate limit.
    pub limited_upstreams: IntGauge,
    /// Upstreams that announced in an answer that they are leaving.
    pub announced_leaving: IntCounter,
    /// Upstreams that rest now.
    pub resting_upstreams: IntGauge,
    /// Rejections in which an upstream asked for rest.
    pub rests: IntCounter,
    /// Requests that were placed and not sent, by what their upstream had announced meanwhile.
    pub sends_withheld: IntCounterVec,
    /// Answers that went on past a bound.
    pub past_bound: PastBoundMetrics,
    /// Retries requested from the budget by outcome.
    pub retries: IntCounterVec,
    /// Time from a request's arrival to the head of a streamed answer, by route, in seconds.
    pub head_s: HistogramVec,
    /// Duration of separate prefills, by service, in seconds.
    pub prefill_s: HistogramVec,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time for which a change of the list of upstreams may have gone unnoticed, in ms.
    pub list_age_ms: IntGauge,
    /// Upstreams in use.
    pub upstreams: IntGauge,
    /// Instances that serve now.
    pub instances: IntGauge,
    /// Known poison requests, which are refused.
    pub poison_requests: IntGauge,
    /// Requests whose handling panicked.
    pub panics: IntCounter,
    /// Paces that upstreams report.
    pub pace: PaceMetrics,
    /// Prompt parts that may end upstreams.
    pub parts: PartMetrics,
    /// Traffic within and between availability zones.
    pub zones: ZoneMetrics,
    /// Generations that wait for room.
    pub waiting: WaitingMetrics,
    /// Shares of engine time.
    pub shares: ShareMetrics,
    /// Requests whose answers are not complete yet.
    pub in_flight: IntGauge,
    /// Calls of singleton tasks to the platform, by call and outcome.
    pub singleton_calls: IntCounterVec,
    /// Calls to the store by call and outcome.
    pub store_calls: IntCounterVec,
}

/// Registers the metrics of an instance.
struct Registrar(Registry);

impl Registrar {
    fn new(instance: &str, zone: &str) -> Self {
        let labels = [("instance", instance), ("zone", zone)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .into();
        let registry = Registry::new_custom(Some("chicoryrack".to_owned()), Some(labels));
        Self(registry.unwrap_or_default())
    }

    fn add<M: Collector + Clone + 'static>(&self, metric: prometheus::Result<M>) -> M {
        let metric = metric.expect("a valid name");
        self.0.register(Box::new(metric.clone())).expect("one each");
        metric
    }

    fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    fn plain_counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    fn histogram(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS.to_vec());
        self.add(HistogramVec::new(options, labels))
    }

    fn gauge(&self, name: &str, help: &str) -> IntGauge {
        self.add(IntGauge::new(name, help))
    }

    fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels))
    }

    fn float_gauges(&self, name: &str, help: &str, labels: &[&str]) -> GaugeVec {
        self.add(GaugeVec::new(Opts::new(name, help), labels))
    }
}

impl Metrics {
    /// Registers all metrics of an instance, with its name and zone as labels.
    ///
    /// # Panics
    /// If a metric has an invalid name or two have the same one; both would fail in every test.
    pub fn new(instance: &str, zone: &str) -> Self {
        let all = Registrar::new(instance, zone);
        Self {
            generations: all.counter(
                "generations_total",
                "Requests that generate text, by prompt length.",
                &["route", "prompt_tokens", "end"],
            ),
            inquiries: all.counter(
                "inquiries_total",
                "Inquiries into upstreams that lost an answer.",
                &["service", "found"],
            ),
            streams: StreamMetrics::new(&all),
            connections_ended: all.counter(
                "connections_ended_total",
                "Ends of connections of callers and peers.",
                &["with", "cause"],
            ),
            cut_off: all.gauges(
                "cut_off",
                "Whether no upstream of a service is reached while peers reach them.",
                &["service"],
            ),
            handed_over: all.counter(
                "handed_over_total",
                "Requests handed over to peers.",
                &["service", "outcome"],
            ),
            taken_over: all.counter(
                "taken_over_total",
                "Requests taken over from peers.",
                &["service"],
            ),
            learned: LearnedMetrics::new(&all),
            answers: all.counter("answers_total", "Complete answers.", &["route", "in_time"]),
            refusals: all.counter("refusals_total", "Refused requests.", &["route", "reason"]),
            prompts_placed: all.counter("placed_total", "Prompts.", &["service", "read", "held"]),
            singleton_calls: all.counter(
                "duties_total",
                "Calls of singleton tasks.",
                &["call", "outcome"],
            ),
            scaling: ScalingMetrics::new(&all),
            role_orders: all.counter("orders_total", "Role orders to engines.", &["outcome"]),
            role_changes: all.counter("role_changes_total", "Role changes.", &["reason"]),
            time_to_send_s: all.histogram("own_seconds", "Time to the first send.", &["route"]),
            predicted_wait_s: all.histogram("wait_seconds", "Predicted wait.", &["service"]),
            upstream_head_s: all.histogram(
                "upstream_seconds",
                "Time from a send to the answer's head.",
                &["service"],
            ),
            retries_left: all.gauges("repeats_left", "Retries left in the window.", &["service"]),
            lines_dropped: all.gauges("lines_left_out", "Log lines dropped.", &["kind"]),
            config_age_ms: all.gauge("config_age_ms", "Age of the configuration's last read."),
            load_age_ms: all.gauge("load_age_ms", "Age of the oldest load report."),
            requests: all.counter("requests_total", "Requests.", &["route", "end"]),
            retries: all.counter(
                "repeats_total",
                "Retries requested from the budget.",
                &["outcome"],
            ),
            head_s: all.histogram("head_seconds", "Time to an answer's head.", &["route"]),
            prefill_s: all.histogram(
                "prefill_seconds",
                "Duration of separate prefills.",
                &["service"],
            ),
            list_age_ms: all.gauge("list_age_ms", "Age of the list of upstreams."),
            limited_upstreams: all
                .gauge("limited_upstreams", "Upstreams that announce a rate limit."),
            sends_withheld: all.counter(
                "withheld_total",
                "Requests placed and not sent.",
                &["reason"],
            ),
            past_bound: PastBoundMetrics::new(&all),
            resting_upstreams: all.gauge("resting_upstreams", "Upstreams that rest."),
            rests: all.plain_counter("rests_total", "Rejections that asked for rest."),
            announced_leaving: all.plain_counter(
                "announced_leaving_total",
                "Upstreams that announced in an answer that they are leaving.",
            ),
            upstreams: all.gauge("upstreams", "Upstreams in use."),
            instances: all.gauge("instances", "Instances ready."),
            poison_requests: all.gauge("poisonous", "Known poison requests."),
            panics: all.plain_counter("panics_total", "Requests whose handling panicked."),
            pace: PaceMetrics::new(&all),
            parts: PartMetrics::new(&all),
            zones: ZoneMetrics::new(&all),
            waiting: WaitingMetrics::new(&all),
            shares: ShareMetrics::new(&all),
            in_flight: all.gauge("in_flight", "Requests in flight."),
            config_version: all.gauge("config_version", "Configuration version in force."),
            store_calls: all.counter("store_calls_total", "Calls.", &["call", "outcome"]),
            registry: all.0,
        }
    }

    /// Counts the end of a request; `prompt_tokens` is the length of its prompt if it generates text.
    pub fn count_end(&self, route: &str, prompt_tokens: Option<u32>, end: &str) {
        self.requests.with_label_values(&[route, end]).inc();
        if let Some(tokens) = prompt_tokens {
            let labels = [route, prompt_class(tokens), end];
            self.generations.with_label_values(&labels).inc();
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!(error:%; "metrics could not be encoded");
        }
        text
    }
}
