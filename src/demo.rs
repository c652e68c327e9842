//! The main job on embedded stand-ins: a mix that shifts while bundles are rolled, an engine is
//! drained, one instance leaves and another dies.

pub mod live;
mod operator;
mod platform;
mod threads;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use load::{Caller, LoadRun, Tally, Tenant};
use model::{Deployment, Phase, TrafficMix};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde::Serialize;

use operator::Operator;
use platform::{Platform, member_key};
use threads::InstanceThread;

/// Entry instances, two in each availability zone.
const INSTANCES: usize = 6;

/// Seed of the load; the run is real, so only the requests are the same each time.
const SEED: u64 = 7;

/// Length of each half of the load.
const HALF_MS: u64 = 9_000;

/// Time for all instances to become ready.
const READY_MS: u64 = 5_000;

/// Error of a step that the demo needs.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// What a run of the demo showed.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Deployment.
    pub deployment: String,
    /// Counts by class.
    pub classes: BTreeMap<String, load::ClassCounts>,
    /// Role orders that engines took.
    pub role_changes: usize,
    /// Calls that may not be repeated and ran more than once, or ran though refused as not run.
    pub ran_wrongly: u64,
    /// Longest time from a roll to its being in force at every instance.
    pub roll_ms: u64,
    /// Table for people.
    #[serde(skip)]
    pub table: String,
}

impl Report {
    /// Whether every answer was whole and its caller's own, and nothing ran twice.
    pub fn is_right(&self) -> bool {
        self.ran_wrongly == 0 && self.classes.values().all(|row| row.wrong == 0)
    }
}

/// Runs the demo for one deployment; `say` gets a line for each step.
pub async fn run(deployment: Deployment, say: impl Fn(&str)) -> Result<Report> {
    let platform = Platform::start(deployment).await?;
    say(&format!(
        "{deployment}: {} engines, {} services, log and instance list are up",
        deployment.engines(),
        deployment.service_instances()
    ));
    let mut instances = start_instances(&platform, deployment, INSTANCES)?;
    let operator = Operator::new(&instances[0].caller_address);
    operator.wait_ready().await;
    operator.roll(&platform::bundle(deployment, 1)).await?;
    let roll_ms = wait_in_force(&instances, 1).await?;
    say(&format!(
        "bundle 1 is in force on {INSTANCES} instances after {roll_ms} ms"
    ));
    wait_looked_up(&instances).await?;

    let running = LoadRun {
        tally: Rc::new(RefCell::new(Tally::default())),
        completed_calls: Rc::default(),
        refused_calls: Rc::default(),
    };
    let callers = callers(deployment, &instances);
    let phases = phases(deployment);
    let load = load::run(&running, callers, deployment, &phases, SEED);
    let events = events(deployment, &platform, &mut instances, &say);
    let ((), second_roll) = tokio::join!(load, events);
    let roll_ms = roll_ms.max(second_roll?);
    report(deployment, &platform, &running, roll_ms, instances)
}

/// Runs the platform and the upstreams of a deployment until SIGTERM or SIGINT.
///
/// The addresses of the log and of the instance list go to standard output as one JSON line.
pub async fn stand_in(deployment: Deployment) -> Result<()> {
    let platform = Platform::start(deployment).await?;
    println!("{}", platform.addresses());
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        ended = tokio::signal::ctrl_c() => ended?,
    }
    Ok(())
}

fn start_instances(
    platform: &Platform,
    deployment: Deployment,
    count: usize,
) -> Result<Vec<InstanceThread>> {
    let mut instances = Vec::new();
    for number in 0..count {
        let zone = deployment.zones()[number % 3];
        let settings = platform.settings(&format!("entry-{}", number + 1), zone);
        let instance = InstanceThread::start(settings)?;
        platform.list_instance(&instance, zone);
        instances.push(instance);
    }
    Ok(instances)
}

/// Waits until a version is in force everywhere and gives the time that it took.
async fn wait_in_force(instances: &[InstanceThread], version: u64) -> Result<u64> {
    let begun = std::time::Instant::now();
    for instance in instances.iter().filter(|instance| instance.is_running()) {
        let operator = Operator::new(&instance.caller_address);
        while operator.version().await.unwrap_or(0) < version {
            if begun.elapsed() > Duration::from_millis(READY_MS) {
                return Err(format!("bundle {version} is not in force in time").into());
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(begun.elapsed().as_millis() as u64)
}

/// Waits until an instance names all instances and some engine is known to be live.
async fn wait_looked_up(instances: &[InstanceThread]) -> Result<()> {
    let begun = std::time::Instant::now();
    for instance in instances {
        let operator = Operator::new(&instance.caller_address);
        while !operator.knows(instances.len()).await {
            if begun.elapsed() > Duration::from_millis(READY_MS) {
                return Err("instances have not found each other in time".into());
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

fn callers(deployment: Deployment, instances: &[InstanceThread]) -> Vec<Caller> {
    let seeds: Vec<String> = instances
        .iter()
        .map(|instance| instance.caller_address.clone())
        .collect();
    let mut callers = Vec::new();
    for member in deployment.members() {
        for zone in deployment.zones() {
            let tenant = Tenant {
                key: member_key(member),
                zone: zone.to_owned(),
            };
            let rng = Pcg64::seed_from_u64(SEED + callers.len() as u64);
            callers.push(Caller::new(tenant, seeds.clone(), rng));
        }
    }
    callers
}

/// First mostly questions, then mostly long prompts.
fn phases(deployment: Deployment) -> [Phase; 2] {
    let scale = deployment.engines() as f64 / 9.0;
    let mix = |long: f64, quick: f64| TrafficMix {
        long: long * scale,
        quick: quick * scale,
        urgent: 3.0 * scale,
        once: 6.0 * scale,
    };
    let (few, many) = (mix(2.0, 24.0), mix(9.0, 6.0));
    [few, many].map(|mix| Phase {
        duration_ms: HALF_MS,
        mix,
    })
}

/// What operators and misfortune do while the load runs.
async fn events(
    deployment: Deployment,
    platform: &Platform,
    instances: &mut [InstanceThread],
    say: &impl Fn(&str),
) -> Result<u64> {
    let wait = |ms: u64| actix_rt::time::sleep(Duration::from_millis(ms));
    let operator = Operator::new(&instances[0].caller_address);
    wait(3_000).await;
    operator.roll(&platform::bundle(deployment, 2)).await?;
    let roll_ms = wait_in_force(instances, 2).await?;
    say(&format!(
        "3 s: bundle 2 with new weights is in force after {roll_ms} ms"
    ));
    wait(3_000).await;
    let engine = platform.engine_name(0);
    operator.drain(&engine).await?;
    say(&format!("6 s: {engine} is drained"));
    wait(3_000).await;
    say("9 s: the mix shifts from questions to long prompts");
    wait(2_000).await;
    platform.leaving(&instances[1].name);
    instances[1].stop();
    say(&format!("11 s: {} leaves as planned", instances[1].name));
    wait(3_000).await;
    instances[2].kill();
    say(&format!("14 s: {} is killed", instances[2].name));
    wait(1_000).await;
    platform.gone(&instances[2].name);
    Ok(roll_ms)
}

fn report(
    deployment: Deployment,
    platform: &Platform,
    running: &LoadRun,
    roll_ms: u64,
    instances: Vec<InstanceThread>,
) -> Result<Report> {
    let ran_wrongly = platform.ran_wrongly(
        deployment.service().1,
        &running.completed_calls.borrow(),
        &running.refused_calls.borrow(),
    );
    for mut instance in instances {
        instance.kill();
        instance.join()?;
    }
    let tally = running.tally.borrow();
    Ok(Report {
        deployment: deployment.to_string(),
        classes: tally.rows(),
        role_changes: platform.role_changes(),
        ran_wrongly,
        roll_ms,
        table: tally.table(),
    })
}
