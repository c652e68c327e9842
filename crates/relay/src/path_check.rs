//! Checks of this instance's path to the upstreams of a service.
//!
//! A check asks several upstreams for a sign of life ([`crate::inquiry`]) and ends with the first answer. What it
//! means that none comes is decided in [`plan::Reach`]. See docs/design/reachability.md.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use plan::{ReachState, Sign, TELLING_UPSTREAMS};
use view::{InstanceKey, ServiceKey};

use crate::inquiry::ask;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Time for which no upstream of a service may be heard while one is overdue, in ms, before the path is checked:
/// several answers of a plain service, or gaps between events of a stream.
const QUIET_MS: u64 = 250;

/// Factor on the predicted prefill of an engine, during which it is silent, before it counts as overdue.
const PREFILL_FACTOR: f64 = 2.0;

/// Shortest time between two checks of a service whose upstreams are reached and silent, in ms.
const CHECK_PAUSE_MS: u64 = 1_000;

/// Shortest time between two checks of a service whose upstreams are reached, after answers were lost, in ms.
const LOSS_CHECK_PAUSE_MS: u64 = 100;

/// Time between two checks of a service whose upstreams are not reached, in ms.
const PROBE_INTERVAL_MS: u64 = 250;

/// Instances, by rank, that find out whether a service is reached if a peer does not reach it.
const ANSWERING_INSTANCES: usize = 3;

/// Upstreams that a check asks while some upstreams are still heard.
const TARGETS_WHILE_HEARD: usize = 2 * TELLING_UPSTREAMS;

/// Delay between the questions of one check, in ms; the first one usually brings the answer.
const PROBE_STAGGER_MS: u64 = 20;

/// Why a path is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckReason {
    /// A connection or an answer failed, or upstreams are silent. Requests wait for the check: sent meanwhile, one
    /// that may not be repeated would be lost.
    Doubt,
    /// A peer does not reach the service, or this instance does not.
    Watch,
}

impl Relay {
    /// Whether peers ask if this instance reaches a service: one of them does not, and nobody else would know if the
    /// service has few requests.
    fn is_asked(&self, service: &str) -> bool {
        let key = ServiceKey::of(service);
        let own = InstanceKey::of(&self.settings.borrow().name);
        let gossip = self.gossip.borrow();
        let is_asked = gossip
            .unreached()
            .any(|each| each.service == key && each.instance != own);
        is_asked && self.rank() < ANSWERING_INSTANCES
    }

    /// Whether an upstream of a service is overdue and none was heard lately.
    fn is_quiet(&self, now_ms: u64, service: &str) -> bool {
        let token_ms = self.estimates.latency_model(now_ms, service).token_ms();
        let upstreams = self.upstreams.borrow();
        let heard_ms = self.contact(service).heard_ms.unwrap_or_default();
        let is_overdue = |each: &Rc<Upstream>| {
            let prefill_ms = each.own_queued_tokens() * token_ms * PREFILL_FACTOR;
            each.silent_ms(now_ms)
                .is_some_and(|silent_ms| silent_ms >= QUIET_MS + prefill_ms as u64)
        };
        now_ms >= heard_ms + QUIET_MS && upstreams.of_service(service).any(is_overdue)
    }
}

/// Updates what is believed of all paths, and checks those that are quiet or not reached. Called once in each gossip
/// period.
pub fn check_paths(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let services = relay.upstreams.borrow().services();
    for service in services {
        relay.update_path(&service, |_, _| {});
        let (state, checked_ms) = state_and_check(relay, &service);
        let reason = match state {
            ReachState::Reached if relay.is_asked(&service) => {
                let heard_ms = relay.contact(&service).last_ms().unwrap_or_default();
                let is_due = now_ms >= heard_ms.max(checked_ms) + PROBE_INTERVAL_MS;
                is_due.then_some(CheckReason::Watch)
            }
            ReachState::Reached => {
                let is_due =
                    now_ms >= checked_ms + CHECK_PAUSE_MS && relay.is_quiet(now_ms, &service);
                is_due.then_some(CheckReason::Doubt)
            }
            ReachState::Suspected | ReachState::CutOff | ReachState::Down => {
                let is_due = now_ms >= checked_ms + PROBE_INTERVAL_MS;
                is_due.then_some(CheckReason::Watch)
            }
        };
        if let Some(reason) = reason {
            begin_check(relay, &service, now_ms, reason);
        }
    }
}

fn state_and_check(relay: &Relay, service: &str) -> (ReachState, u64) {
    let services = relay.reachability.services.borrow();
    let path = services.get(service);
    path.map_or((ReachState::Reached, 0), |path| {
        (path.reach.state(), path.checked_ms)
    })
}

/// Checks the path to a service after an attempt that began at `began_ms` brought no connection, unless an upstream
/// answered on a connection that was opened since.
pub fn suspect_path(relay: &Rc<Relay>, service: &str, began_ms: u64) {
    let proven_ms = relay.contact(service).proven_ms;
    if proven_ms.is_none_or(|proven_ms| proven_ms <= began_ms) {
        begin_check(relay, service, began_ms, CheckReason::Doubt);
    }
}

/// Checks the path to a service after an answer was lost, unless it was checked just now: a path may reset
/// connections that were established, and an upstream that ends loses many answers at once.
pub fn suspect_path_after_loss(relay: &Rc<Relay>, service: &str) {
    let now_ms = relay.now_ms();
    let (state, checked_ms) = state_and_check(relay, service);
    if state != ReachState::Reached || now_ms >= checked_ms + LOSS_CHECK_PAUSE_MS {
        begin_check(relay, service, now_ms, CheckReason::Doubt);
    }
}

/// Starts a check unless one is running.
fn begin_check(relay: &Rc<Relay>, service: &str, began_ms: u64, reason: CheckReason) {
    let mut is_running = false;
    relay.update_path(service, |now_ms, path| {
        is_running = std::mem::replace(&mut path.is_checking, true);
        path.is_awaited |= reason == CheckReason::Doubt;
        path.checked_ms = now_ms;
        if path.reach.failing_since_ms().is_none() {
            let heard_ms = path.reach.heard_ms().unwrap_or(began_ms);
            path.faults_from_ms = heard_ms.min(began_ms);
        }
    });
    if is_running {
        return;
    }
    let (relay, service) = (Rc::clone(relay), service.to_owned());
    actix_rt::spawn(async move {
        let (targets, askable) = targets(&relay, &service, began_ms);
        let found = ask_all(&relay, &targets).await;
        relay.update_path(&service, |now_ms, path| {
            path.is_checking = false;
            path.is_awaited = false;
            let failed = targets.len();
            let reach = &mut path.reach;
            match found {
                Found::Nobody => {}
                Found::Reached => reach.record_proven(now_ms),
                Found::Silent => reach.record_silent(now_ms, began_ms, failed, askable),
                Found::Unreachable => reach.record_unreachable(now_ms, began_ms, failed, askable),
            }
        });
        relay.reachability.changed.notify_waiters();
    });
}

/// Upstreams that a check asks, and the number of those that it could ask: of different zones if there are several,
/// others each time and at each instance, so that the checks of a fleet do not meet at the same ones.
///
/// Those that are leaving, rest or have no room within their limit are not asked, and do not count as known: otherwise
/// too few could fail for the path to be suspected while the others want no requests.
///
/// While some are still heard on open connections there are more of them: several that ended at the same time could
/// otherwise be taken for a path that is cut.
fn targets(relay: &Relay, service: &str, began_ms: u64) -> (Vec<Rc<Upstream>>, usize) {
    let now_ms = relay.now_ms();
    let is_heard = relay
        .contact(service)
        .heard_ms
        .is_some_and(|heard_ms| heard_ms + QUIET_MS >= began_ms);
    let count = if is_heard {
        TARGETS_WHILE_HEARD
    } else {
        TELLING_UPSTREAMS
    };
    let upstreams = relay.upstreams.borrow();
    let mut all: Vec<Rc<Upstream>> = upstreams
        .ready(service, now_ms)
        .filter(|each| each.accepts_requests(now_ms) && relay.has_rate_capacity(each))
        .cloned()
        .collect();
    let own = InstanceKey::of(&relay.settings.borrow().name);
    let turn = now_ms / PROBE_INTERVAL_MS + u64::from(own.0);
    let turn = (turn % all.len().max(1) as u64) as usize;
    all.rotate_left(turn);
    let mut zones: HashMap<String, usize> = HashMap::new();
    all.sort_by_cached_key(|each| {
        let count = zones.entry(each.zone.clone()).or_default();
        *count += 1;
        *count
    });
    let askable = all.len();
    all.truncate(count);
    (all, askable)
}

/// What a check found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// There was nobody to ask.
    Nobody,
    /// An upstream answered.
    Reached,
    /// All accepted connections and gave no answer.
    Silent,
    /// None answered.
    Unreachable,
}

/// Asks each upstream, one shortly after the other, until one answers.
async fn ask_all(relay: &Relay, targets: &[Rc<Upstream>]) -> Found {
    if targets.is_empty() {
        return Found::Nobody;
    }
    let attempt = |(number, target): (usize, &Rc<Upstream>)| {
        let target = Rc::clone(target);
        async move {
            let delay_ms = number as u64 * PROBE_STAGGER_MS;
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
            ask(relay, &target).await
        }
    };
    let mut attempts: FuturesUnordered<_> = targets.iter().enumerate().map(attempt).collect();
    let mut found = Found::Silent;
    while let Some(sign) = attempts.next().await {
        match sign {
            Sign::Answered | Sign::Replaced => return Found::Reached,
            Sign::Silent => {}
            Sign::Unanswered | Sign::Refused | Sign::NotAsked => found = Found::Unreachable,
        }
    }
    found
}
