//! Traces: arrivals and engine events, generated from a seed.

use derive_more::{Display, FromStr};
use model::{Deployment, RequestKind, RequestSizes};
use plan::EngineProfile;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

/// Length of a trace, in ms.
pub(crate) const LENGTH_MS: f64 = 120_000.0;

/// Share of long prompts that refer to one of the shared documents.
const SHARED_DOCUMENT_SHARE: f64 = 0.3;

/// Number of shared documents.
const SHARED_DOCUMENTS: u64 = 40;

/// Part of a prompt that consists of the shared document.
const SHARED_PREFIX_PART: f64 = 0.8;

/// Share of the work that comes from urgent requests.
const URGENT_SHARE: f64 = 0.05;

/// Kind of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceKind {
    /// Long and quick requests in equal parts, by work.
    #[display("steady")]
    Steady,
    /// The share of long requests alternates between a fifth and four fifths.
    #[display("swing")]
    Swing,
    /// After a third of the time, nearly all work comes from long requests.
    #[display("reads")]
    Reads,
    /// Long requests arrive at four times their rate for ten seconds.
    #[display("burst")]
    Burst,
    /// After 30 s, one member sends about as many requests as all others together.
    #[display("flood")]
    Flood,
    /// An engine crashes and does not return.
    #[display("lost")]
    Lost,
    /// Two engines are drained.
    #[display("drained")]
    Drained,
    /// The engines load new weights one after the other, while they serve requests.
    #[display("roll")]
    Roll,
    /// Reports and cache events arrive four seconds late.
    #[display("stale")]
    Stale,
    /// An engine is four times as slow for a minute.
    #[display("slow")]
    Slow,
    /// The mix alternates as in `swing`, but the log is down, so that no role can change.
    #[display("log-down")]
    LogDown,
}

impl TraceKind {
    /// All kinds of traces.
    pub const ALL: [Self; 11] = [
        Self::Steady,
        Self::Swing,
        Self::Reads,
        Self::Burst,
        Self::Flood,
        Self::Lost,
        Self::Drained,
        Self::Roll,
        Self::Stale,
        Self::Slow,
        Self::LogDown,
    ];
}

/// Arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time of the arrival, in ms.
    pub at_ms: f64,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the member.
    pub member: usize,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Actual number of output tokens, which the router does not know.
    pub output_tokens: u32,
    /// Expected number of output tokens for the kind.
    pub expected_tokens: u32,
    /// Identifies the shared document in the prompt; 0 if there is none.
    pub prefix: u64,
    /// Number of tokens in the shared document.
    pub prefix_tokens: u32,
    /// Deadline of the complete answer, in ms after the arrival.
    pub deadline_ms: f64,
}

/// Event at an engine, given by index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineEvent {
    /// The engine crashes and does not return.
    Crash(usize),
    /// An operator drains the engine.
    Drain(usize),
    /// The duration of its iterations is multiplied by this factor.
    Slow(usize, f64),
}

/// Input of a run.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Kind of the trace.
    pub kind: TraceKind,
    /// Deployment whose fleet and request sizes are used.
    pub deployment: Deployment,
    /// Arrivals in order of time.
    pub arrivals: Vec<Arrival>,
    /// Engine events, each with its time in ms.
    pub events: Vec<(f64, EngineEvent)>,
    /// Delay of reports and cache events, in ms.
    pub lag_ms: f64,
    /// Whether the log is available, without which no role can change.
    pub log_up: bool,
}

/// Priority rank of a kind of request; 0 is served first.
pub(crate) fn rank(kind: RequestKind) -> usize {
    match kind {
        RequestKind::Urgent | RequestKind::Once => 0,
        RequestKind::Quick => 1,
        RequestKind::Long => 2,
    }
}

fn deadline_ms(kind: RequestKind) -> f64 {
    match kind {
        RequestKind::Urgent | RequestKind::Once => 1_500.0,
        RequestKind::Quick => 5_000.0,
        RequestKind::Long => 10_000.0,
    }
}

/// Engine time of a request on a mixed engine with a half-full batch, in ms. Loads are defined by
/// it.
pub(crate) fn nominal_ms(profile: &EngineProfile, prompt_tokens: f64, output_tokens: f64) -> f64 {
    let chunk = f64::from(EngineProfile::chunk_tokens(conf::Role::Mixed));
    let running = f64::from(profile.max_running) / 2.0;
    prompt_tokens * (profile.token_ms + profile.base_ms / chunk)
        + output_tokens * (profile.sequence_ms + profile.base_ms / running)
}

impl Trace {
    /// Generates a trace. The load is a share of the engines' capacity.
    pub fn new(kind: TraceKind, deployment: Deployment, load: f64, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let capacity = deployment.engines() as f64;
        let mut at_ms = 0.0;
        while at_ms < LENGTH_MS {
            let step_ms = 100.0;
            for (request, share) in work_shares(kind, at_ms) {
                let work_ms = mean_work_ms(deployment, request);
                let mut rate = capacity * load * share / work_ms;
                if kind == TraceKind::Flood && at_ms > 30_000.0 {
                    rate *= 1.5;
                }
                draw_arrivals(
                    &mut rng,
                    kind,
                    deployment,
                    request,
                    at_ms,
                    step_ms,
                    rate,
                    &mut arrivals,
                );
            }
            at_ms += step_ms;
        }
        arrivals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        Self {
            kind,
            deployment,
            arrivals,
            events: engine_events(kind, deployment),
            lag_ms: if kind == TraceKind::Stale {
                4_000.0
            } else {
                500.0
            },
            log_up: kind != TraceKind::LogDown,
        }
    }
}

/// Shares of the work by kind of request; they add up to 1 except during a burst.
fn work_shares(kind: TraceKind, at_ms: f64) -> [(RequestKind, f64); 3] {
    let other_share = 1.0 - URGENT_SHARE;
    let long = match kind {
        TraceKind::Swing | TraceKind::LogDown => swing(at_ms),
        TraceKind::Reads if at_ms > LENGTH_MS / 3.0 => 0.95,
        _ => 0.5,
    };
    let burst = kind == TraceKind::Burst && (40_000.0..50_000.0).contains(&at_ms);
    let factor = if burst { 4.0 } else { 1.0 };
    [
        (RequestKind::Urgent, URGENT_SHARE),
        (RequestKind::Quick, other_share * (1.0 - long)),
        (RequestKind::Long, other_share * long * factor),
    ]
}

/// Share of long requests, which alternates between 0.2 and 0.8 every 30 s with ramps of 5 s.
fn swing(at_ms: f64) -> f64 {
    let phase = (at_ms / 30_000.0).floor();
    let phase_ms = at_ms - phase * 30_000.0;
    let (low, high) = (0.2, 0.8);
    let (from, to) = if (phase as u64).is_multiple_of(2) {
        (high, low)
    } else {
        (low, high)
    };
    let from = if phase == 0.0 { low } else { from };
    from + (to - from) * (phase_ms / 5_000.0).min(1.0)
}

fn mean_work_ms(deployment: Deployment, kind: RequestKind) -> f64 {
    let (prompt, output) = RequestSizes::of(deployment).tokens(kind);
    nominal_ms(
        &EngineProfile::default(),
        f64::from(prompt),
        f64::from(output),
    )
}

#[expect(
    clippy::too_many_arguments,
    reason = "one call site, all of them needed"
)]
fn draw_arrivals(
    rng: &mut Pcg64,
    trace: TraceKind,
    deployment: Deployment,
    kind: RequestKind,
    from_ms: f64,
    step_ms: f64,
    rate: f64,
    arrivals: &mut Vec<Arrival>,
) {
    // Exponential gaps give Poisson arrivals within the step.
    let mut at_ms = from_ms;
    loop {
        at_ms += -rng.random_range(f64::EPSILON..1.0_f64).ln() / rate.max(1e-12);
        if at_ms >= from_ms + step_ms {
            return;
        }
        arrivals.push(arrival(rng, trace, deployment, kind, at_ms));
    }
}

fn arrival(
    rng: &mut Pcg64,
    trace: TraceKind,
    deployment: Deployment,
    kind: RequestKind,
    at_ms: f64,
) -> Arrival {
    let (prompt, output) = RequestSizes::of(deployment).tokens(kind);
    let spread = |rng: &mut Pcg64, tokens: u32| {
        (f64::from(tokens) * rng.random_range(0.5..1.5)).max(1.0) as u32
    };
    let prompt_tokens = spread(rng, prompt);
    let members = deployment.members().len();
    let is_flood = trace == TraceKind::Flood && at_ms > 30_000.0 && rng.random_bool(0.33);
    let member = if is_flood {
        0
    } else {
        rng.random_range(0..members)
    };
    let shares_document = kind == RequestKind::Long && rng.random_bool(SHARED_DOCUMENT_SHARE);
    let prefix = if shares_document {
        1 + rng.random_range(0..SHARED_DOCUMENTS)
    } else {
        0
    };
    let prompt_tokens = if shares_document {
        prompt
    } else {
        prompt_tokens
    };
    Arrival {
        at_ms,
        kind,
        member,
        prompt_tokens,
        output_tokens: spread(rng, output),
        expected_tokens: output,
        prefix,
        prefix_tokens: if shares_document {
            (f64::from(prompt) * SHARED_PREFIX_PART) as u32
        } else {
            0
        },
        deadline_ms: deadline_ms(kind),
    }
}

fn engine_events(kind: TraceKind, deployment: Deployment) -> Vec<(f64, EngineEvent)> {
    match kind {
        TraceKind::Lost => vec![(40_000.0, EngineEvent::Crash(0))],
        TraceKind::Drained => vec![
            (30_000.0, EngineEvent::Drain(0)),
            (45_000.0, EngineEvent::Drain(1)),
        ],
        TraceKind::Slow => vec![
            (30_000.0, EngineEvent::Slow(0, 4.0)),
            (90_000.0, EngineEvent::Slow(0, 1.0)),
        ],
        // Loading takes memory bandwidth from each engine in turn, for two seconds.
        TraceKind::Roll => (0..deployment.engines())
            .flat_map(|engine| {
                let begin = 40_000.0 + 2_000.0 * engine as f64;
                [
                    (begin, EngineEvent::Slow(engine, 1.3)),
                    (begin + 2_000.0, EngineEvent::Slow(engine, 1.0)),
                ]
            })
            .collect(),
        _ => Vec::new(),
    }
}
