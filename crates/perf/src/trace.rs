//! What arrives and what goes wrong, from fixed seeds.

use derive_more::{Display, FromStr};
use model::{Deployment, RequestKind, RequestSizes};
use plan::EngineProfile;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use serde::Serialize;

/// Length of a trace.
pub(crate) const LENGTH_MS: f64 = 120_000.0;

/// Share of long prompts that were asked about before.
const AGAIN_SHARE: f64 = 0.3;

/// Documents that are asked about again.
const DOCUMENTS: u64 = 40;

/// Part of a prompt that a document asked about again shares.
const SHARED: f64 = 0.8;

/// Share of the work that urgent requests are.
const URGENT_SHARE: f64 = 0.05;

/// Kinds of traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceKind {
    /// Half long prompts, half questions, by work.
    #[display("steady")]
    Steady,
    /// The share of long prompts swings between a fifth and four fifths.
    #[display("swing")]
    Swing,
    /// After a third of the time nearly all work is long prompts.
    #[display("reads")]
    Reads,
    /// Long prompts come four times as fast for ten seconds.
    #[display("burst")]
    Burst,
    /// One member asks for as much as all others.
    #[display("flood")]
    Flood,
    /// An engine is lost.
    #[display("lost")]
    Lost,
    /// Two engines are drained.
    #[display("drained")]
    Drained,
    /// New weights are loaded beside the work, engine after engine.
    #[display("roll")]
    Roll,
    /// Reports and cache events are four seconds old.
    #[display("stale")]
    Stale,
    /// An engine takes four times as long.
    #[display("slow")]
    Slow,
    /// The log is down, so that no role can change, while the mix swings.
    #[display("log-down")]
    LogDown,
}

impl TraceKind {
    /// All kinds.
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

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When.
    pub at_ms: f64,
    /// Which kind.
    pub kind: RequestKind,
    /// Member by number.
    pub member: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Output tokens it will have.
    pub output_tokens: u32,
    /// Output tokens that could be expected of its kind.
    pub expected_tokens: u32,
    /// Prefix shared with earlier prompts; 0 for none.
    pub prefix: u64,
    /// Tokens of that prefix.
    pub prefix_tokens: u32,
    /// Time to the whole answer.
    pub deadline_ms: f64,
}

/// What happens to engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// The engine crashes for good.
    Crash(usize),
    /// An operator drains it.
    Drain(usize),
    /// Its iterations take this factor longer.
    Slow(usize, f64),
}

/// A whole trace.
#[derive(Debug, Clone)]
pub struct Trace {
    /// Its kind.
    pub kind: TraceKind,
    /// Deployment whose sizes it has.
    pub deployment: Deployment,
    /// Requests in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// What happens to engines, and when.
    pub events: Vec<(f64, Event)>,
    /// Age of reports and cache events.
    pub lag_ms: f64,
    /// Whether roles can change.
    pub log_up: bool,
}

/// Level of urgency of a kind.
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

/// Engine time of a request at the mixed role with half a batch, by which load is counted.
pub(crate) fn nominal_ms(shape: &EngineProfile, prompt_tokens: f64, output_tokens: f64) -> f64 {
    let chunk = f64::from(EngineProfile::chunk_tokens(conf::Role::Mixed));
    let running = f64::from(shape.max_running) / 2.0;
    prompt_tokens * (shape.token_ms + shape.base_ms / chunk)
        + output_tokens * (shape.sequence_ms + shape.base_ms / running)
}

impl Trace {
    /// Makes a trace at a load, counted in shares of what all engines can do.
    pub fn new(kind: TraceKind, deployment: Deployment, load: f64, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let capacity = deployment.engines() as f64;
        let mut at_ms = 0.0;
        while at_ms < LENGTH_MS {
            let step_ms = 100.0;
            for (request, share) in shares(kind, at_ms) {
                let work_ms = mean_work_ms(deployment, request);
                let mut rate = capacity * load * share / work_ms;
                if kind == TraceKind::Flood && at_ms > 30_000.0 {
                    rate *= 1.5;
                }
                draw(
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
            events: events(kind, deployment),
            lag_ms: if kind == TraceKind::Stale {
                4_000.0
            } else {
                500.0
            },
            log_up: kind != TraceKind::LogDown,
        }
    }
}

/// Shares of the work by kind at a time; they add up to 1 but in a burst.
fn shares(kind: TraceKind, at_ms: f64) -> [(RequestKind, f64); 3] {
    let rest = 1.0 - URGENT_SHARE;
    let long = match kind {
        TraceKind::Swing | TraceKind::LogDown => swing(at_ms),
        TraceKind::Reads if at_ms > LENGTH_MS / 3.0 => 0.95,
        _ => 0.5,
    };
    let burst = kind == TraceKind::Burst && (40_000.0..50_000.0).contains(&at_ms);
    let factor = if burst { 4.0 } else { 1.0 };
    [
        (RequestKind::Urgent, URGENT_SHARE),
        (RequestKind::Quick, rest * (1.0 - long)),
        (RequestKind::Long, rest * long * factor),
    ]
}

/// A fifth for 30 s, four fifths for 30 s, and so on, each way within 5 s.
fn swing(at_ms: f64) -> f64 {
    let phase = (at_ms / 30_000.0).floor();
    let into_ms = at_ms - phase * 30_000.0;
    let (low, high) = (0.2, 0.8);
    let (from, to) = if (phase as u64).is_multiple_of(2) {
        (high, low)
    } else {
        (low, high)
    };
    let from = if phase == 0.0 { low } else { from };
    from + (to - from) * (into_ms / 5_000.0).min(1.0)
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
fn draw(
    rng: &mut Pcg64,
    trace: TraceKind,
    deployment: Deployment,
    kind: RequestKind,
    from_ms: f64,
    step_ms: f64,
    rate: f64,
    arrivals: &mut Vec<Arrival>,
) {
    // Exponential gaps within the step.
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
    let flooded = trace == TraceKind::Flood && at_ms > 30_000.0 && rng.random_bool(0.33);
    let member = if flooded {
        0
    } else {
        rng.random_range(0..members)
    };
    let again = kind == RequestKind::Long && rng.random_bool(AGAIN_SHARE);
    let prefix = if again {
        1 + rng.random_range(0..DOCUMENTS)
    } else {
        0
    };
    let prompt_tokens = if again { prompt } else { prompt_tokens };
    Arrival {
        at_ms,
        kind,
        member,
        prompt_tokens,
        output_tokens: spread(rng, output),
        expected_tokens: output,
        prefix,
        prefix_tokens: if again {
            (f64::from(prompt) * SHARED) as u32
        } else {
            0
        },
        deadline_ms: deadline_ms(kind),
    }
}

fn events(kind: TraceKind, deployment: Deployment) -> Vec<(f64, Event)> {
    match kind {
        TraceKind::Lost => vec![(40_000.0, Event::Crash(0))],
        TraceKind::Drained => vec![(30_000.0, Event::Drain(0)), (45_000.0, Event::Drain(1))],
        TraceKind::Slow => vec![
            (30_000.0, Event::Slow(0, 4.0)),
            (90_000.0, Event::Slow(0, 1.0)),
        ],
        // Loading takes memory bandwidth from the work for two seconds on each engine in turn.
        TraceKind::Roll => (0..deployment.engines())
            .flat_map(|engine| {
                let begin = 40_000.0 + 2_000.0 * engine as f64;
                [
                    (begin, Event::Slow(engine, 1.3)),
                    (begin + 2_000.0, Event::Slow(engine, 1.0)),
                ]
            })
            .collect(),
        _ => Vec::new(),
    }
}
