//! This instance's path to the upstreams of each service: whether it is cut off, and the checks that find out.
//!
//! An instance that reaches no upstream sees what it would see if all of them were down: connections that fail or
//! hang. If peers reach them, the fault is its own path. It then hands its callers' requests to peers
//! ([`crate::handover`]) and holds what failed meanwhile neither against upstreams nor against requests. See
//! docs/design/reachability.md.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use plan::{EVIDENCE_WAIT_MS, Reach, ReachState, TELLING_UPSTREAMS};
use tokio::sync::Notify;
use view::{FailureEvidence, InstanceKey, RequestKey, ServiceHeard, ServiceKey, UpstreamKey};

use crate::call::Call;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Time for which no upstream of a service may be heard while one is overdue, in ms, before the path is checked:
/// several answers of a plain service, or gaps between events of a stream.
const QUIET_MS: u64 = 250;

/// Factor on the predicted prefill of an engine, during which it is silent, before it counts as overdue.
const PREFILL_FACTOR: f64 = 2.0;

/// Shortest time between two checks of a service whose upstreams are reached, in ms; each opens a connection.
const CHECK_PAUSE_MS: u64 = 1_000;

/// Time between two checks of a service whose upstreams are not reached, in ms.
const PROBE_INTERVAL_MS: u64 = 250;

/// Timeout of a connection that a check opens, in ms: dozens of round trips between availability zones.
const PROBE_TIMEOUT_MS: u64 = 200;

/// Instances, by rank, that find out whether a service is reached if a peer does not reach it.
const ANSWERING_INSTANCES: usize = 3;

/// Upstreams that a check connects to while some upstreams are still heard.
const TARGETS_WHILE_HEARD: usize = 2 * TELLING_UPSTREAMS;

/// Delay between the connections of one check, in ms; the first one usually answers the question.
const PROBE_STAGGER_MS: u64 = 20;

/// Most lost answers that are remembered to be excused.
const MAX_LOSSES: usize = 256;

/// An answer that was lost with its connection.
#[derive(Debug, Clone, Copy)]
struct Loss {
    at_ms: u64,
    request: RequestKey,
    upstream: UpstreamKey,
}

/// The path to the upstreams of one service.
#[derive(Debug, Default)]
struct ServicePath {
    reach: Reach,
    is_checking: bool,
    checked_ms: u64,
    /// From when on failures may be due to the path: the last time that an upstream was heard before.
    faults_from_ms: u64,
    losses: Vec<Loss>,
}

/// The paths to the upstreams of all services.
#[derive(Default)]
pub struct Reachability {
    services: RefCell<HashMap<String, ServicePath>>,
    changed: Notify,
}

/// When the upstreams of a service were last heard, and when a connection to one was last opened.
#[derive(Debug, Clone, Copy, Default)]
struct Contact {
    heard_ms: Option<u64>,
    opened_ms: Option<u64>,
}

impl Contact {
    fn last_ms(self) -> Option<u64> {
        self.heard_ms.max(self.opened_ms)
    }
}

impl Relay {
    /// What this instance believes of its path to the upstreams of a service.
    pub fn reach_state(&self, service: &str) -> ReachState {
        let services = self.reachability.services.borrow();
        services
            .get(service)
            .map_or(ReachState::Reached, |path| path.reach.state())
    }

    /// Whether this instance reaches no upstream of a service while peers do.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.reach_state(service) == ReachState::CutOff
    }

    /// Whether this instance was cut off from a service at some time since `since_ms`; how long answers took then
    /// says nothing about upstreams.
    pub fn was_cut_off_since(&self, service: &str, since_ms: u64) -> bool {
        let services = self.reachability.services.borrow();
        services
            .get(service)
            .is_some_and(|path| path.reach.was_cut_off_since(since_ms))
    }

    /// The services of which this instance reaches no upstream, whether or not peers do.
    pub fn unreached_services(&self) -> Vec<ServiceKey> {
        let services = self.reachability.services.borrow();
        let unreached = services
            .iter()
            .filter(|(_, path)| path.reach.state() != ReachState::Reached);
        let mut keys: Vec<ServiceKey> = unreached.map(|(name, _)| ServiceKey::of(name)).collect();
        keys.sort_unstable();
        keys
    }

    /// The instances that reach no upstream at all, as this one or its peers tell.
    pub fn fully_unreached(&self) -> Vec<InstanceKey> {
        let services = self.upstreams.borrow().service_count();
        let mut unreached: HashMap<InstanceKey, BTreeSet<ServiceKey>> = HashMap::new();
        for each in self.gossip.borrow().unreached() {
            let of_instance = unreached.entry(each.instance).or_default();
            of_instance.insert(each.service);
        }
        let own = InstanceKey::of(&self.settings.borrow().name);
        unreached.insert(own, self.unreached_services().into_iter().collect());
        let is_fully = |all: &BTreeSet<ServiceKey>| services > 0 && all.len() >= services;
        unreached
            .into_iter()
            .filter(|(_, all)| is_fully(all))
            .map(|(instance, _)| instance)
            .collect()
    }

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

    /// How long ago this instance heard upstreams of each service, for gossip.
    pub(crate) fn heard_services(&self) -> Vec<ServiceHeard> {
        let now_ms = self.now_ms();
        let services = self.reachability.services.borrow();
        let heard = services.iter().filter_map(|(name, path)| {
            let heard_ms = path.reach.heard_ms()?;
            Some(ServiceHeard {
                service: ServiceKey::of(name),
                age_ms: now_ms.saturating_sub(heard_ms) as u32,
            })
        });
        heard.collect()
    }

    /// Remembers a lost answer, which is excused if this instance turns out to be cut off; false if it is known to be
    /// cut off, so that the loss is no evidence at all.
    pub(crate) fn note_loss(&self, call: &Call, upstream: &Upstream) -> bool {
        let now_ms = self.now_ms();
        let mut services = self.reachability.services.borrow_mut();
        let path = services.entry(upstream.service.clone()).or_default();
        if path.reach.state() == ReachState::CutOff {
            return false;
        }
        if path.losses.len() >= MAX_LOSSES {
            path.losses.remove(0);
        }
        path.losses.push(Loss {
            at_ms: now_ms,
            request: call.key,
            upstream: upstream.key,
        });
        true
    }

    fn contact(&self, service: &str) -> Contact {
        let upstreams = self.upstreams.borrow();
        let all = upstreams.of_service(service);
        all.fold(Contact::default(), |contact, each| Contact {
            heard_ms: contact.heard_ms.max(each.heard_ms()),
            opened_ms: contact.opened_ms.max(each.pool.opened_ms()),
        })
    }

    /// Updates the path to a service by `update`, after what was heard since, and acts on a change of the belief.
    fn update_path(&self, service: &str, update: impl FnOnce(u64, &mut ServicePath)) {
        let now_ms = self.now_ms();
        let contact = self.contact(service);
        let peers_heard_ms = self.gossip.borrow().heard_ms(ServiceKey::of(service));
        let (before, after) = {
            let mut services = self.reachability.services.borrow_mut();
            if !services.contains_key(service) {
                services.insert(service.to_owned(), ServicePath::default());
            }
            let Some(path) = services.get_mut(service) else {
                return;
            };
            let before = path.reach.state();
            if let Some(heard_ms) = contact.last_ms() {
                path.reach.record_heard(heard_ms);
            }
            update(now_ms, path);
            let failing_since_ms = path.reach.failing_since_ms();
            let reopened_ms = contact
                .opened_ms
                .filter(|opened_ms| failing_since_ms.is_some_and(|since_ms| *opened_ms > since_ms));
            if let Some(reopened_ms) = reopened_ms {
                path.reach.record_connected(reopened_ms);
            }
            if let Some(heard_ms) = peers_heard_ms {
                path.reach.record_peers_heard(now_ms, heard_ms);
            }
            path.reach.decide(now_ms);
            (before, path.reach.state())
        };
        if before != after {
            self.path_changed(service, before, after);
        }
    }

    fn path_changed(&self, service: &str, before: ReachState, after: ReachState) {
        let (heard_ms, anywhere_ms, faults_from_ms) = {
            let services = self.reachability.services.borrow();
            let path = &services[service];
            let reach = path.reach;
            (
                reach.heard_ms(),
                reach.last_heard_anywhere_ms(),
                path.faults_from_ms,
            )
        };
        let now_ms = self.now_ms();
        let age_ms =
            |at_ms: Option<u64>| at_ms.map_or(u64::MAX, |at_ms| now_ms.saturating_sub(at_ms));
        log::warn!(
            service, before:?, after:?, heard_age_ms = age_ms(heard_ms), heard_anywhere_age_ms = age_ms(anywhere_ms);
            "path to the upstreams of a service changed"
        );
        let gauge = self.metrics.cut_off.with_label_values(&[service]);
        gauge.set(i64::from(after == ReachState::CutOff));
        match after {
            ReachState::CutOff => self.excuse_losses(service, faults_from_ms),
            ReachState::Reached if before == ReachState::CutOff => {
                let upstreams = self.upstreams.borrow();
                upstreams
                    .of_service(service)
                    .for_each(|each| each.forgive_since(now_ms, faults_from_ms));
            }
            ReachState::Reached | ReachState::Suspected | ReachState::Down => {}
        }
        self.reachability.changed.notify_waiters();
    }

    /// Takes back the evidence against requests whose answers were lost with the path.
    fn excuse_losses(&self, service: &str, faults_from_ms: u64) {
        let losses = {
            let mut services = self.reachability.services.borrow_mut();
            let path = services.get_mut(service);
            path.map(|path| std::mem::take(&mut path.losses))
        };
        let is_excused = |loss: &Loss| loss.at_ms >= faults_from_ms;
        for loss in losses.into_iter().flatten().filter(is_excused) {
            self.record_attribution(FailureEvidence::Excused {
                request: loss.request,
                upstream: loss.upstream,
            });
        }
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
        let (state, checked_ms) = {
            let services = relay.reachability.services.borrow();
            let path = services.get(&service);
            path.map_or((ReachState::Reached, 0), |path| {
                (path.reach.state(), path.checked_ms)
            })
        };
        let is_due = match state {
            ReachState::Reached if relay.is_asked(&service) => {
                let heard_ms = relay.contact(&service).last_ms().unwrap_or_default();
                now_ms >= heard_ms.max(checked_ms) + PROBE_INTERVAL_MS
            }
            ReachState::Reached => {
                now_ms >= checked_ms + CHECK_PAUSE_MS && relay.is_quiet(now_ms, &service)
            }
            ReachState::Suspected | ReachState::CutOff | ReachState::Down => {
                now_ms >= checked_ms + PROBE_INTERVAL_MS
            }
        };
        if is_due {
            begin_check(relay, &service, now_ms);
        }
    }
}

/// Checks the path to a service after no connection to one of its upstreams could be opened by an attempt that began
/// at `began_ms`, unless another one was opened since.
pub fn suspect_path(relay: &Rc<Relay>, service: &str, began_ms: u64) {
    let is_reached = relay
        .contact(service)
        .opened_ms
        .is_some_and(|opened_ms| opened_ms > began_ms);
    if !is_reached {
        begin_check(relay, service, began_ms);
    }
}

/// Starts a check unless one is running.
fn begin_check(relay: &Rc<Relay>, service: &str, began_ms: u64) {
    let mut is_running = false;
    relay.update_path(service, |now_ms, path| {
        is_running = std::mem::replace(&mut path.is_checking, true);
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
        let targets = targets(&relay, &service, began_ms);
        let is_reached = reaches_any(&targets).await;
        let known = relay.upstreams.borrow().of_service(&service).count();
        relay.update_path(&service, |now_ms, path| {
            path.is_checking = false;
            if is_reached {
                path.reach.record_connected(now_ms);
            } else if !targets.is_empty() {
                path.reach
                    .record_unreachable(now_ms, began_ms, targets.len(), known);
            }
        });
        relay.reachability.changed.notify_waiters();
    });
}

/// Upstreams that a check connects to: of different zones if there are several, others each time.
///
/// While some are still heard on open connections there are more of them: several that ended at the same time could
/// otherwise be taken for a path that is cut.
fn targets(relay: &Relay, service: &str, began_ms: u64) -> Vec<Rc<Upstream>> {
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
    let mut all: Vec<Rc<Upstream>> = upstreams.ready(service, now_ms).cloned().collect();
    let turn = (now_ms / PROBE_INTERVAL_MS) as usize % all.len().max(1);
    all.rotate_left(turn);
    let mut zones: HashMap<String, usize> = HashMap::new();
    all.sort_by_cached_key(|each| {
        let count = zones.entry(each.zone.clone()).or_default();
        *count += 1;
        *count
    });
    all.truncate(count);
    all
}

/// Opens a connection to each upstream, one shortly after the other, until one is established.
async fn reaches_any(targets: &[Rc<Upstream>]) -> bool {
    let attempt = |(number, target): (usize, &Rc<Upstream>)| {
        let pool = Rc::clone(&target.pool);
        async move {
            let delay_ms = number as u64 * PROBE_STAGGER_MS;
            actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
            let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
            let probed = actix_rt::time::timeout(timeout, pool.probe(usize::MAX)).await;
            matches!(probed, Ok(Ok(())))
        }
    };
    let mut attempts: FuturesUnordered<_> = targets.iter().enumerate().map(attempt).collect();
    while let Some(is_reached) = attempts.next().await {
        if is_reached {
            return true;
        }
    }
    false
}

/// Waits until it is known whether this instance is cut off from a service, if that is in doubt.
pub async fn settle(relay: &Relay, service: &str) {
    let deadline_ms = relay.now_ms() + EVIDENCE_WAIT_MS + PROBE_TIMEOUT_MS;
    loop {
        let changed = relay.reachability.changed.notified();
        // Without peers no word can come; the check itself still runs.
        let waited_ms = if relay.has_senders() {
            0
        } else {
            EVIDENCE_WAIT_MS
        };
        relay.update_path(service, |now_ms, path| {
            path.reach.decide(now_ms + waited_ms);
        });
        let is_in_doubt = {
            let services = relay.reachability.services.borrow();
            services.get(service).is_some_and(|path| {
                let state = path.reach.state();
                let is_checked_first = path.is_checking && state == ReachState::Reached;
                is_checked_first || state == ReachState::Suspected
            })
        };
        let now_ms = relay.now_ms();
        if !is_in_doubt || now_ms >= deadline_ms {
            return;
        }
        let wait = Duration::from_millis((deadline_ms - now_ms).min(view::gossip::PERIOD_MS));
        // Without a change the belief is looked at again after a gossip period.
        let _ = actix_rt::time::timeout(wait, changed).await;
    }
}

/// Completes once this instance is cut off from the service of `upstream` and has heard nothing of it since that began.
pub async fn cut_off_from(relay: &Relay, upstream: &Upstream) {
    loop {
        let changed = relay.reachability.changed.notified();
        let failing_since_ms = {
            let services = relay.reachability.services.borrow();
            let path = services.get(&upstream.service);
            let reach = path.map(|path| path.reach).unwrap_or_default();
            let is_cut_off = reach.state() == ReachState::CutOff;
            reach.failing_since_ms().filter(|_| is_cut_off)
        };
        if failing_since_ms.is_some_and(|since_ms| upstream.heard_ms() < Some(since_ms)) {
            return;
        }
        changed.await;
    }
}
