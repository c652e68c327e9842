//! Times of a running deployment: bundles in force, handover of leases, calls that run once.
//!
//! These are wall-clock figures for docs/BENCH.md; no check rests on them.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;
use std::time::{Duration, Instant};

use load::{Caller, Outcome, Tenant};
use model::Deployment;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::operator::Operator;
use super::platform::{Platform, bundle, member_key};
use super::threads::InstanceThread;
use super::{Result, start_instances, wait_in_force, wait_looked_up};

/// Entry instances.
const INSTANCES: usize = 9;

/// Bundles rolled, one after the other.
const ROLLS: u64 = 20;

/// Time for which appends are counted.
const IDLE_MS: u64 = 5_000;

/// Callers at the same time, and calls of each.
const CALLERS: usize = 32;
const CALLS: usize = 60;

/// Time between two looks.
const LOOK_MS: u64 = 2;

/// Measures and gives a table.
pub async fn run() -> Result<String> {
    let deployment = Deployment::Annabhandar;
    let platform = Platform::start(deployment).await?;
    let mut instances = start_instances(&platform, deployment, INSTANCES)?;
    let operator = Operator::new(&instances[0].caller_address);
    operator.wait_ready().await;
    operator.roll(&bundle(deployment, 1)).await?;
    wait_in_force(&instances, 1).await?;
    wait_looked_up(&instances).await?;
    let mut text = "| measured | figure |\n| --- | --- |\n".to_owned();
    let mut row = |what: &str, figure: String| {
        let _ = writeln!(text, "| {what} | {figure} |");
    };
    row(
        "from the roll to in force on 9 instances",
        rolls(deployment, &instances).await?,
    );
    wait_held(&instances).await?;
    let before = platform.appends();
    actix_rt::time::sleep(Duration::from_millis(IDLE_MS)).await;
    let rate = (platform.appends() - before) as f64 / (IDLE_MS as f64 / 1_000.0);
    row("appends a second, idle, 3 groups", format!("{rate:.1}"));
    row(
        "calls that run once, log up",
        calls(deployment, &instances, 1).await,
    );
    platform.set_log_down(true);
    row(
        "calls that run once, log down",
        calls(deployment, &instances, 2).await,
    );
    platform.set_log_down(false);
    wait_held(&instances).await?;
    row(
        "handover of leases, planned stop",
        handover(&mut instances, InstanceThread::stop).await?,
    );
    row(
        "handover of leases, kill",
        handover(&mut instances, InstanceThread::kill).await?,
    );
    for mut instance in instances {
        instance.kill();
        instance.join()?;
    }
    Ok(text)
}

async fn rolls(deployment: Deployment, instances: &[InstanceThread]) -> Result<String> {
    let operator = Operator::new(&instances[0].caller_address);
    let mut times = Vec::new();
    for version in 2..2 + ROLLS {
        operator
            .publish_and_sign(&bundle(deployment, version))
            .await?;
        let begun = Instant::now();
        let (rolled, there) = tokio::join!(
            operator.put_in_force(version),
            wait_in_force(instances, version)
        );
        rolled?;
        there?;
        times.push(begun.elapsed().as_millis() as u64);
    }
    times.sort_unstable();
    let last = times.len() - 1;
    Ok(format!(
        "p50 {} ms, max {} ms ({ROLLS} rolls)",
        times[times.len() / 2],
        times[last]
    ))
}

/// Leases held by all instances that run.
async fn held(instances: &[InstanceThread]) -> u64 {
    let mut sum = 0;
    for instance in instances.iter().filter(|instance| instance.is_running()) {
        sum += Operator::new(&instance.caller_address).leases().await;
    }
    sum
}

async fn wait_held(instances: &[InstanceThread]) -> Result<Duration> {
    let begun = Instant::now();
    while held(instances).await < 3 {
        if begun.elapsed() > Duration::from_secs(30) {
            return Err("leases are not held in time".into());
        }
        actix_rt::time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
    Ok(begun.elapsed())
}

async fn handover(
    instances: &mut [InstanceThread],
    end: impl Fn(&mut InstanceThread),
) -> Result<String> {
    for place in 1..instances.len() {
        if !instances[place].is_running()
            || Operator::new(&instances[place].caller_address)
                .leases()
                .await
                == 0
        {
            continue;
        }
        end(&mut instances[place]);
        let took = wait_held(instances).await?;
        return Ok(format!("{} ms", took.as_millis()));
    }
    Ok("the first instance held all leases".to_owned())
}

async fn calls(deployment: Deployment, instances: &[InstanceThread], round: u64) -> String {
    let seeds: Vec<String> = instances
        .iter()
        .map(|instance| instance.caller_address.clone())
        .collect();
    let times = Rc::new(RefCell::new(Vec::new()));
    let lost = Rc::new(RefCell::new((0_u64, 0_u64)));
    let begun = Instant::now();
    let callers = (0..CALLERS).map(|number| {
        let tenant = Tenant {
            key: member_key(deployment.members()[number % 3]),
            zone: deployment.zones()[number % 3].to_owned(),
        };
        let seed = round * 1_000 + number as u64;
        let caller = Caller::new(tenant, seeds.clone(), Pcg64::seed_from_u64(seed));
        let (times, lost) = (times.clone(), lost.clone());
        actix_rt::spawn(async move {
            for call in 0..CALLS {
                let body = format!("live {seed} {call}");
                let (service, path) = deployment.service();
                let ended = caller.call_once(service, path, &body, 2_000).await;
                times.borrow_mut().push(ended.duration_ms);
                match ended.outcome {
                    Outcome::InTime | Outcome::Late => {}
                    Outcome::Unknown => lost.borrow_mut().0 += 1,
                    Outcome::Refused | Outcome::Wrong => lost.borrow_mut().1 += 1,
                }
            }
        })
    });
    futures_util::future::join_all(callers).await;
    let rate = (CALLERS * CALLS) as f64 / begun.elapsed().as_secs_f64();
    let mut times = times.borrow_mut();
    times.sort_unstable();
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let (unknown, refused) = *lost.borrow();
    format!(
        "{rate:.0} a second, p50 {} ms, p99 {} ms (8 ms of them the service's), unknown {unknown}, refused {refused} of {}",
        at(0.5),
        at(0.99),
        CALLERS * CALLS
    )
}
