//! Measures a running deployment: time to put bundles in force, handover of leases and at-most-once
//! calls.
//!
//! The results are wall-clock times for docs/BENCH.md; no check depends on them.

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
use super::{Result, start_instances, wait_discovered, wait_in_force};

/// Number of entry instances.
const INSTANCES: usize = 9;

/// Number of bundles that are rolled, one after the other.
const ROLLS: u64 = 20;

/// Duration for which the appends of an idle deployment are counted.
const IDLE_MS: u64 = 5_000;

/// Number of concurrent callers.
const CALLERS: usize = 32;

/// Number of calls that each caller makes, one after the other.
const CALLS_PER_CALLER: usize = 60;

/// Interval between checks of a condition; the resolution of the measured times.
const POLL_MS: u64 = 2;

/// Runs all measurements and formats them as a Markdown table.
pub async fn run() -> Result<String> {
    let deployment = Deployment::Annabhandar;
    let platform = Platform::start(deployment).await?;
    let mut instances = start_instances(&platform, deployment, INSTANCES)?;
    let operator = Operator::new(&instances[0].caller_address);
    operator.wait_ready().await;
    operator.roll(&bundle(deployment, 1)).await?;
    wait_in_force(&instances, 1).await?;
    wait_discovered(&instances).await?;
    let mut text = "| measured | figure |\n| --- | --- |\n".to_owned();
    let mut row = |what: &str, figure: String| {
        let _ = writeln!(text, "| {what} | {figure} |");
    };
    row(
        "from the roll to in force on 9 instances",
        rolls(deployment, &instances).await?,
    );
    wait_leases_held(&instances).await?;
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
    wait_leases_held(&instances).await?;
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

/// Rolls bundles and measures the time until each is in force at all instances.
async fn rolls(deployment: Deployment, instances: &[InstanceThread]) -> Result<String> {
    let operator = Operator::new(&instances[0].caller_address);
    let mut times = Vec::new();
    for version in 2..2 + ROLLS {
        operator
            .publish_and_sign(&bundle(deployment, version))
            .await?;
        let started = Instant::now();
        let (rolled, in_force) = tokio::join!(
            operator.put_in_force(version),
            wait_in_force(instances, version)
        );
        rolled?;
        in_force?;
        times.push(started.elapsed().as_millis() as u64);
    }
    times.sort_unstable();
    let last = times.len() - 1;
    Ok(format!(
        "p50 {} ms, max {} ms ({ROLLS} rolls)",
        times[times.len() / 2],
        times[last]
    ))
}

/// Counts the leases that running instances hold.
async fn held_leases(instances: &[InstanceThread]) -> u64 {
    let mut sum = 0;
    for instance in instances.iter().filter(|instance| instance.is_running()) {
        sum += Operator::new(&instance.caller_address).leases().await;
    }
    sum
}

/// Waits until the leases of all groups are held and returns the time it took.
async fn wait_leases_held(instances: &[InstanceThread]) -> Result<Duration> {
    let started = Instant::now();
    while held_leases(instances).await < 3 {
        if started.elapsed() > Duration::from_secs(30) {
            return Err("leases are not held in time".into());
        }
        actix_rt::time::sleep(Duration::from_millis(POLL_MS)).await;
    }
    Ok(started.elapsed())
}

/// Ends the first instance, apart from instance 0, that holds a lease and measures the time until all
/// leases are held again.
async fn handover(
    instances: &mut [InstanceThread],
    end: impl Fn(&mut InstanceThread),
) -> Result<String> {
    for index in 1..instances.len() {
        if !instances[index].is_running()
            || Operator::new(&instances[index].caller_address)
                .leases()
                .await
                == 0
        {
            continue;
        }
        end(&mut instances[index]);
        let elapsed = wait_leases_held(instances).await?;
        return Ok(format!("{} ms", elapsed.as_millis()));
    }
    Ok("the first instance held all leases".to_owned())
}

/// Makes at-most-once calls from concurrent callers and measures rate and latency.
async fn calls(deployment: Deployment, instances: &[InstanceThread], round: u64) -> String {
    let seeds: Vec<String> = instances
        .iter()
        .map(|instance| instance.caller_address.clone())
        .collect();
    let times = Rc::new(RefCell::new(Vec::new()));
    let failures = Rc::new(RefCell::new((0_u64, 0_u64)));
    let started = Instant::now();
    let callers = (0..CALLERS).map(|number| {
        let tenant = Tenant {
            key: member_key(deployment.members()[number % 3]),
            zone: deployment.zones()[number % 3].to_owned(),
        };
        let seed = round * 1_000 + number as u64;
        let caller = Caller::new(tenant, seeds.clone(), Pcg64::seed_from_u64(seed));
        let (times, failures) = (times.clone(), failures.clone());
        actix_rt::spawn(async move {
            for call in 0..CALLS_PER_CALLER {
                let body = format!("live {seed} {call}");
                let (service, path) = deployment.service();
                let result = caller.call_once(service, path, &body, 2_000).await;
                times.borrow_mut().push(result.duration_ms);
                match result.outcome {
                    Outcome::InTime | Outcome::Late => {}
                    Outcome::Unknown => failures.borrow_mut().0 += 1,
                    Outcome::Refused | Outcome::Wrong => failures.borrow_mut().1 += 1,
                }
            }
        })
    });
    futures_util::future::join_all(callers).await;
    let rate = (CALLERS * CALLS_PER_CALLER) as f64 / started.elapsed().as_secs_f64();
    let mut times = times.borrow_mut();
    times.sort_unstable();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    let (unknown, refused) = *failures.borrow();
    format!(
        "{rate:.0} a second, p50 {} ms, p99 {} ms (8 ms of them the service's), unknown {unknown}, refused {refused} of {}",
        percentile(0.5),
        percentile(0.99),
        CALLERS * CALLS_PER_CALLER
    )
}
