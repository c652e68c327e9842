//! Measures how time and size grow with the number of engines, instances, leases and so on.
//!
//! docs/CAPACITY.md is derived from these measurements. They depend on the machine, so no test
//! relies on them.

use std::fmt::Write;
use std::hint::black_box;
use std::time::Instant;

use conf::BundleIndex;
use feed::State;
use keys::KeyHash;
use once::{EpochCounter, Home, IdempotencyKey, InstanceEpoch, Witness};
use peer::{PeerInfo, PeerTable};
use plan::{Engine, EngineProfile, Fleet, Outstanding, Request, Router};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::{Body, Condition, EngineLoad, Heartbeat, LeaseClaimed, LeaseRef, Origin, Record};

/// Repetitions of each time measurement. The fastest counts, as it is the least disturbed.
const REPETITIONS: usize = 5;

/// Least-squares line through measured points.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// Name of the measurement.
    pub name: &'static str,
    /// Unit of the measured values.
    pub unit: &'static str,
    /// Unit of the size.
    pub per: &'static str,
    /// Sizes and measured values.
    pub points: Vec<(f64, f64)>,
    /// Value of the line at size 0.
    pub base: f64,
    /// Increase of the line per unit of size.
    pub slope: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub residual: f64,
}

impl Fit {
    fn new(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let cross: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let square: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let slope = cross / square;
        let base = mean_y - slope * mean_x;
        let largest = points
            .iter()
            .map(|point| point.1)
            .fold(f64::MIN_POSITIVE, f64::max);
        let distances = points
            .iter()
            .map(|point| (point.1 - base - slope * point.0).abs());
        let residual = distances.fold(0.0, f64::max) / largest;
        Self {
            name,
            unit,
            per,
            points,
            base,
            slope,
            residual,
        }
    }

    /// Value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

/// Mean time of a step, in µs, in the fastest of several repetitions.
fn time_us(steps: usize, mut step: impl FnMut(usize)) -> f64 {
    let run = |step: &mut dyn FnMut(usize)| {
        let started = Instant::now();
        for number in 0..steps {
            step(number);
        }
        started.elapsed().as_secs_f64() * 1e6 / steps as f64
    };
    (0..REPETITIONS)
        .map(|_| run(&mut step))
        .fold(f64::INFINITY, f64::min)
}

fn measure_sizes(sizes: &[usize], mut measure: impl FnMut(usize) -> f64) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|&size| (size as f64, measure(size)))
        .collect()
}

/// Runs all measurements.
pub fn slopes() -> Vec<Fit> {
    vec![
        Fit::new(
            "routing decision",
            "µs",
            "engine",
            measure_sizes(&[12, 190, 1_900], route_us),
        ),
        Fit::new(
            "heartbeat with loads, size",
            "bytes",
            "busy engine",
            measure_sizes(&[0, 18, 60, 120], heartbeat_bytes),
        ),
        Fit::new(
            "heartbeat with loads, encode and decode",
            "µs",
            "busy engine",
            measure_sizes(&[0, 18, 60, 120], heartbeat_us),
        ),
        Fit::new(
            "taking in a heartbeat",
            "µs",
            "engine",
            measure_sizes(&[18, 120, 480], record_peer_load_us),
        ),
        Fit::new(
            "lookup",
            "µs",
            "instance known",
            measure_sizes(&[9, 24, 95, 380], lookup_us),
        ),
        Fit::new(
            "folding a renewal",
            "µs",
            "lease",
            measure_sizes(&[3, 68, 272], apply_renewal_us),
        ),
        Fit::new(
            "renewal record, size",
            "bytes",
            "lease",
            measure_sizes(&[3, 68, 272], renewal_bytes),
        ),
        Fit::new(
            "snapshot, size",
            "bytes",
            "lease",
            measure_sizes(&[3, 68, 272], snapshot_bytes),
        ),
        Fit::new(
            "bundle, size",
            "bytes",
            "workspace",
            measure_sizes(&[100, 1_000, 12_000], bundle_bytes),
        ),
        Fit::new(
            "taking a bundle into use",
            "µs",
            "workspace",
            measure_sizes(&[100, 1_000, 12_000], index_bundle_us),
        ),
        Fit::new(
            "finding a workspace by its key",
            "µs",
            "workspace",
            measure_sizes(&[100, 1_000, 12_000], find_workspace_us),
        ),
        Fit::new(
            "call that runs once, home and witness",
            "µs",
            "key held",
            measure_sizes(&[100, 1_000, 10_000], once_call_us),
        ),
    ]
}

fn fleet(engines: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        let mut engine = Engine::new(
            &format!("engine-{number}"),
            "model",
            "group",
            EngineProfile::default(),
        );
        engine.record_sent(0, 2, (number % 7) as f64 * 900.0, 40.0);
        fleet.add(engine);
    }
    fleet
}

fn route_us(engines: usize) -> f64 {
    let fleet = fleet(engines);
    let mut router = Router::default();
    let mut rng = Pcg64::seed_from_u64(1);
    let request = Request {
        member: "member",
        share: 1,
        model: "model",
        rank: 1,
        prompt_tokens: 160.0,
        output_tokens: 80.0,
        left_ms: 5_000.0,
    };
    time_us(2_000, |number| {
        let choice = router.route(number as u64, &fleet, &request, |_| 0.0, &[], &mut rng);
        let _ = black_box(choice);
    })
}

fn heartbeat(loads: usize) -> Heartbeat {
    let load = |number: usize| EngineLoad {
        engine: format!("engine-{number:04}"),
        at_ms: 1_000_000,
        prompt_tokens: vec![100, 2_000, 40_000],
        output_tokens: 4_000,
        waiting: vec![1, 2, 3],
        running: 20,
    };
    Heartbeat {
        instance: "entry-0123".to_owned(),
        incarnation: u64::MAX,
        zone: "region-1/zone-16".to_owned(),
        condition: Condition::Ready,
        applied_offset: 1_000_000,
        epoch: 1_000,
        caller_address: "10.100.100.100:8080".to_owned(),
        sent_load: Some((0..loads).map(load).collect()),
        bundle_version: 1_000,
        prompt_rate: 100.0,
        output_rate: 10.0,
    }
}

fn heartbeat_bytes(loads: usize) -> f64 {
    heartbeat(loads).encode().len() as f64
}

fn heartbeat_us(loads: usize) -> f64 {
    let heartbeat = heartbeat(loads);
    time_us(500, |_| {
        let _ = black_box(Heartbeat::decode(&heartbeat.encode()));
    })
}

fn record_peer_load_us(engines: usize) -> f64 {
    let mut fleet = fleet(engines);
    time_us(500, |number| {
        for engine in fleet.iter_mut() {
            engine.record_peer_load(number as u64, "entry-0123", Outstanding::default());
        }
    })
}

fn lookup_us(instances: usize) -> f64 {
    let settings = peer::MembershipSettings {
        suspect_ms: 1_000,
        fan_out: 3,
    };
    let mut members = PeerTable::new(settings);
    for number in 0..instances {
        let name = format!("entry-{number:04}");
        let known = PeerInfo {
            instance: name.clone(),
            peer_address: "10.0.0.1:1".to_owned(),
            zone: format!("zone-{}", number % 16),
            last_heartbeat: None,
            leaving: false,
        };
        members.apply_list(0, std::iter::once(known));
        members.record_heartbeat(
            1,
            Heartbeat {
                instance: name,
                ..heartbeat(0)
            },
        );
    }
    time_us(500, |_| {
        let _ = black_box(members.ready(2, "zone-3").len());
    })
}

fn record(sequence: u64, body: Body) -> Record {
    Record {
        origin: Origin {
            writer: "entry-0123".to_owned(),
            incarnation: 1,
            sequence,
        },
        wall_ms: 1_800_000_000_000,
        actor: "entry-0123".to_owned(),
        body,
    }
}

fn group(number: usize) -> String {
    format!("model-{:02}/region-1/zone-{:02}", number % 17, number / 17)
}

fn state(leases: usize) -> State {
    let mut state = State::default();
    for number in 0..leases {
        let claim = LeaseClaimed {
            group: group(number),
            supersedes: 0,
            ttl_ms: 15_000,
        };
        state.apply(
            number as u64 + 1,
            &record(number as u64 + 1, Body::LeaseClaimed(claim)),
        );
    }
    state
}

fn renewal(leases: usize, number: u64) -> Record {
    let lease = number as usize % leases;
    let renewed = LeaseRef {
        group: group(lease),
        fencing_token: lease as u64 + 1,
    };
    record(leases as u64 + number + 1, Body::LeaseRenewed(renewed))
}

fn apply_renewal_us(leases: usize) -> f64 {
    let mut state = state(leases);
    let mut next = 0_u64;
    time_us(2_000, |_| {
        let bytes = renewal(leases, next).encode();
        if let Ok(record) = Record::decode(&bytes) {
            black_box(state.apply(leases as u64 + next + 1, &record));
        }
        next += 1;
    })
}

fn renewal_bytes(leases: usize) -> f64 {
    renewal(leases, 1).encode().len() as f64
}

fn snapshot_bytes(leases: usize) -> f64 {
    state(leases).snapshot().encode().len() as f64
}

fn bundle(workspaces: usize) -> String {
    let workspace = |number: usize| {
        let hash = conf::digest(&number.to_string());
        format!(
            r#"{{"name":"member/team-{number:05}","key_sha256":"{hash}","class":"quick","in_flight":64}}"#
        )
    };
    let all: Vec<String> = (0..workspaces).map(workspace).collect();
    let models: Vec<String> = (0..17)
        .map(|number| format!(r#"{{"name":"model-{number}","version":"v1"}}"#))
        .collect();
    format!(
        r#"{{"version":1,"base":0,"models":[{}],"classes":[{{"name":"quick","rank":1,"deadline_ms":5000}}],"members":[{{"name":"member","share":1,"workspaces":[{}]}}]}}"#,
        models.join(","),
        all.join(",")
    )
}

fn bundle_bytes(workspaces: usize) -> f64 {
    bundle(workspaces).len() as f64
}

fn index(text: &str) -> Option<BundleIndex> {
    let bundle = conf::parse_bundle(text, "bundle").ok()?;
    Some(BundleIndex::new(bundle, conf::digest(text)))
}

fn index_bundle_us(workspaces: usize) -> f64 {
    let text = bundle(workspaces);
    time_us(3, |_| {
        black_box(index(&text));
    })
}

fn find_workspace_us(workspaces: usize) -> f64 {
    let index = index(&bundle(workspaces));
    let hashes: Vec<KeyHash> = (0..100)
        .map(|number| KeyHash::of(number.to_string().as_bytes()))
        .collect();
    time_us(5_000, |number| {
        let found = index
            .as_ref()
            .and_then(|index| index.tenant(&hashes[number % 100]));
        black_box(found);
    })
}

fn once_call_us(held: usize) -> f64 {
    let epochs = EpochCounter::new(0);
    let mut home = Home::new("home", 1, epochs);
    let mut witness = Witness::new("witness", 2, epochs);
    let epoch_of = |instance: &str, incarnation| InstanceEpoch {
        instance: instance.to_owned(),
        incarnation,
        epoch: 1,
    };
    let mut number = 0_u64;
    let mut call = |_: usize| {
        number += 1;
        let key = IdempotencyKey {
            home: epoch_of("home", 1),
            witness: epoch_of("witness", 2),
            suffix: number.to_string(),
        };
        home.admit(1, &key, [0; 32]);
        let verdict = witness.claim(1, &key, [0; 32]);
        black_box(home.record_verdict(&key, Some(verdict)));
    };
    (0..held).for_each(&mut call);
    time_us(200, call)
}

/// Renders the measurements as a Markdown table.
pub fn slopes_markdown(fits: &[Fit]) -> String {
    let mut text = "| measured | sizes: figures | base | slope | residual |\n| --- | --- | ---: | ---: | ---: |\n".to_owned();
    for fit in fits {
        let points: Vec<String> = fit
            .points
            .iter()
            .map(|(size, figure)| format!("{size}: {figure:.2}"))
            .collect();
        let _ = writeln!(
            text,
            "| {} | {} | {:.2} {} | {:.5} {} per {} | {:.0}% |",
            fit.name,
            points.join(", "),
            fit.base,
            fit.unit,
            fit.slope,
            fit.unit,
            fit.per,
            fit.residual * 100.0
        );
    }
    text
}
