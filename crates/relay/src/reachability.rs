//! This instance's path to the upstreams of each service: whether it is cut off.
//!
//! An instance that reaches no upstream sees what it would see if all of them were down: connections that fail or
//! hang. If peers reach them, the fault is its own path. It then hands its callers' requests to peers
//! ([`crate::handover`]) and holds what failed meanwhile neither against upstreams nor against requests. The checks
//! that find out are in [`crate::path_check`]. See docs/design/reachability.md.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use plan::{EVIDENCE_WAIT_MS, Reach, ReachState};
use tokio::sync::Notify;
use view::{FailureEvidence, InstanceKey, RequestKey, ServiceHeard, ServiceKey, UpstreamKey};

use crate::call::Call;
use crate::inquiry::ANSWER_TIMEOUT_MS;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Longest time for which requests wait for a verdict, in ms: a check, and word from peers.
const SETTLE_MS: u64 = EVIDENCE_WAIT_MS + ANSWER_TIMEOUT_MS;

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
pub(crate) struct ServicePath {
    pub(crate) reach: Reach,
    /// Whether a check is running, and whether requests wait for it.
    pub(crate) is_checking: bool,
    pub(crate) is_awaited: bool,
    pub(crate) checked_ms: u64,
    /// From when on failures may be due to the path: the last time that an upstream was heard before.
    pub(crate) faults_from_ms: u64,
    losses: Vec<Loss>,
}

/// The paths to the upstreams of all services.
#[derive(Default)]
pub struct Reachability {
    pub(crate) services: RefCell<HashMap<String, ServicePath>>,
    pub(crate) changed: Notify,
}

/// When the upstreams of a service were last heard, and when the youngest connection began that brought an answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contact {
    pub(crate) heard_ms: Option<u64>,
    pub(crate) proven_ms: Option<u64>,
}

impl Contact {
    pub(crate) fn last_ms(self) -> Option<u64> {
        self.heard_ms.max(self.proven_ms)
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

    /// Whether it is being found out if this instance reaches the upstreams of a service, after something failed.
    pub fn is_path_in_doubt(&self, service: &str) -> bool {
        let services = self.reachability.services.borrow();
        services
            .get(service)
            .is_some_and(|path| match path.reach.state() {
                ReachState::Suspected => true,
                ReachState::Reached => path.is_checking && path.is_awaited,
                ReachState::CutOff | ReachState::Down => false,
            })
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
        let services = self.routed_services();
        let mut unreached: HashMap<InstanceKey, BTreeSet<ServiceKey>> = HashMap::new();
        for each in self.gossip.borrow().unreached() {
            let of_instance = unreached.entry(each.instance).or_default();
            of_instance.insert(each.service);
        }
        let own = InstanceKey::of(&self.settings.borrow().name);
        unreached.insert(own, self.unreached_services().into_iter().collect());
        let is_fully = |all: &BTreeSet<ServiceKey>| {
            !services.is_empty() && services.iter().all(|service| all.contains(service))
        };
        unreached
            .into_iter()
            .filter(|(_, all)| is_fully(all))
            .map(|(instance, _)| instance)
            .collect()
    }

    /// The services with upstreams that the configuration names. Others get no request that could show their path.
    fn routed_services(&self) -> Vec<ServiceKey> {
        let config = self.config();
        let is_routed = |service: &String| {
            let config = config.as_ref();
            config.is_some_and(|config| config.service(service).is_some())
        };
        let services = self.upstreams.borrow().services();
        let routed = services.iter().filter(|it| is_routed(it));
        routed.map(|service| ServiceKey::of(service)).collect()
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

    pub(crate) fn contact(&self, service: &str) -> Contact {
        let upstreams = self.upstreams.borrow();
        let all = upstreams.of_service(service);
        all.fold(Contact::default(), |contact, each| Contact {
            heard_ms: contact.heard_ms.max(each.heard_ms()),
            proven_ms: contact.proven_ms.max(each.pool.proven_ms()),
        })
    }

    /// Updates the path to a service by `update`, after what was heard since, and acts on a change of the belief.
    pub(crate) fn update_path(&self, service: &str, update: impl FnOnce(u64, &mut ServicePath)) {
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
            let proven_ms = contact
                .proven_ms
                .filter(|began_ms| failing_since_ms.is_some_and(|since_ms| *began_ms > since_ms));
            if let Some(proven_ms) = proven_ms {
                path.reach.record_proven(proven_ms);
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
}

/// Waits until it is known whether this instance is cut off from a service, if that is in doubt.
pub async fn settle(relay: &Relay, service: &str) {
    let deadline_ms = relay.now_ms() + SETTLE_MS;
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
        let now_ms = relay.now_ms();
        if !relay.is_path_in_doubt(service) || now_ms >= deadline_ms {
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
