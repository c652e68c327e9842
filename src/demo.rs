//! The demo: a deployment on embedded stand-ins under a shifting load, while a bundle is rolled, an
//! engine is drained, one instance is stopped and another is killed.

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

/// Number of entry instances, two in each availability zone.
const INSTANCES: usize = 6;

/// Seed of the load. Runs use real time, so only the requests are reproducible.
const SEED: u64 = 7;

/// Duration of each of the two phases of load.
const PHASE_MS: u64 = 9_000;

/// Timeout for each condition that the demo waits for.
const WAIT_TIMEOUT_MS: u64 = 5_000;

/// Result of a step of the demo.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

/// Results of a run of the demo.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the deployment.
    pub deployment: String,
    /// Outcomes of requests by class.
    pub classes: BTreeMap<String, load::ClassCounts>,
    /// Role orders that engines accepted.
    pub role_changes: usize,
    /// At-most-once calls that ran twice, were answered without running, or ran although the caller
    /// was told that they did not.
    #[serde(rename = "ran_wrongly")]
    pub at_most_once_violations: u64,
    /// Longest time from a roll until the bundle was in force at every instance.
    pub roll_ms: u64,
    /// Outcomes by class as a text table.
    #[serde(skip)]
    pub table: String,
}

impl Report {
    /// Whether every answer was complete and correct and no at-most-once call was violated.
    pub fn is_correct(&self) -> bool {
        self.at_most_once_violations == 0 && self.classes.values().all(|row| row.wrong == 0)
    }
}

/// Runs the demo for one deployment; `progress` receives a line for each step.
pub async fn run(deployment: Deployment, progress: impl Fn(&str)) -> Result<Report> {
    let platform = Platform::start(deployment).await?;
    progress(&format!(
        "{deployment}: {} engines, {} services, log and instance list are up",
        deployment.engines(),
        deployment.service_instances()
    ));
    let mut instances = start_instances(&platform, deployment, INSTANCES)?;
    let operator = Operator::new(&instances[0].caller_address);
    operator.wait_ready().await;
    operator.roll(&platform::bundle(deployment, 1)).await?;
    let roll_ms = wait_in_force(&instances, 1).await?;
    progress(&format!(
        "bundle 1 is in force on {INSTANCES} instances after {roll_ms} ms"
    ));
    wait_discovered(&instances).await?;

    let running = LoadRun {
        tally: Rc::new(RefCell::new(Tally::default())),
        completed_calls: Rc::default(),
        refused_calls: Rc::default(),
    };
    let callers = callers(deployment, &instances);
    let phases = phases(deployment);
    let load = load::run(&running, callers, deployment, &phases, SEED);
    let events = run_events(deployment, &platform, &mut instances, &progress);
    let ((), second_roll) = tokio::join!(load, events);
    let roll_ms = roll_ms.max(second_roll?);
    report(deployment, &platform, &running, roll_ms, instances)
}

/// Runs the platform and the upstreams of a deployment until SIGTERM or SIGINT.
///
/// Prints the addresses of the log and of the instance list as one JSON line.
pub async fn run_standins(deployment: Deployment) -> Result<()> {
    let platform = Platform::start(deployment).await?;
    println!("{}", platform.addresses());
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
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

/// Waits until a bundle is in force at every running instance and returns the time it took, in ms.
async fn wait_in_force(instances: &[InstanceThread], version: u64) -> Result<u64> {
    let started = std::time::Instant::now();
    for instance in instances.iter().filter(|instance| instance.is_running()) {
        let operator = Operator::new(&instance.caller_address);
        while operator.version().await.unwrap_or(0) < version {
            if started.elapsed() > Duration::from_millis(WAIT_TIMEOUT_MS) {
                return Err(format!("bundle {version} is not in force in time").into());
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(started.elapsed().as_millis() as u64)
}

/// Waits until every instance sees all instances and sees all engines live.
async fn wait_discovered(instances: &[InstanceThread]) -> Result<()> {
    let started = std::time::Instant::now();
    for instance in instances {
        let operator = Operator::new(&instance.caller_address);
        while !operator.sees_fleet(instances.len()).await {
            if started.elapsed() > Duration::from_millis(WAIT_TIMEOUT_MS) {
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

/// The first phase has mostly short questions, the second mostly long prompts.
fn phases(deployment: Deployment) -> [Phase; 2] {
    let scale = deployment.engines() as f64 / 9.0;
    let mix = |long: f64, quick: f64| TrafficMix {
        long: long * scale,
        quick: quick * scale,
        urgent: 3.0 * scale,
        once: 6.0 * scale,
    };
    let (questions, long_prompts) = (mix(2.0, 24.0), mix(9.0, 6.0));
    [questions, long_prompts].map(|mix| Phase {
        duration_ms: PHASE_MS,
        mix,
    })
}

/// Runs the operators' actions and the failures of instances beside the load, and returns the time
/// that the second roll took.
async fn run_events(
    deployment: Deployment,
    platform: &Platform,
    instances: &mut [InstanceThread],
    progress: &impl Fn(&str),
) -> Result<u64> {
    let wait = |ms: u64| actix_rt::time::sleep(Duration::from_millis(ms));
    let operator = Operator::new(&instances[0].caller_address);
    wait(3_000).await;
    operator.roll(&platform::bundle(deployment, 2)).await?;
    let roll_ms = wait_in_force(instances, 2).await?;
    progress(&format!(
        "3 s: bundle 2 with new weights is in force after {roll_ms} ms"
    ));
    wait(3_000).await;
    let engine = platform.engine_name(0);
    operator.drain(&engine).await?;
    progress(&format!("6 s: {engine} is drained"));
    wait(3_000).await;
    progress("9 s: the mix shifts from questions to long prompts");
    wait(2_000).await;
    platform.remove_instance(&instances[1].name);
    instances[1].stop();
    progress(&format!("11 s: {} leaves as planned", instances[1].name));
    wait(3_000).await;
    instances[2].kill();
    progress(&format!("14 s: {} is killed", instances[2].name));
    wait(1_000).await;
    platform.remove_instance(&instances[2].name);
    Ok(roll_ms)
}

fn report(
    deployment: Deployment,
    platform: &Platform,
    running: &LoadRun,
    roll_ms: u64,
    instances: Vec<InstanceThread>,
) -> Result<Report> {
    let at_most_once_violations = platform.at_most_once_violations(
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
        at_most_once_violations,
        roll_ms,
        table: tally.table(),
    })
}
