//! A caller, which caches lookups and avoids instances that failed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use serde::Deserialize;
use tick::Clock;

/// Time for which a failed instance is avoided, in ms. It must exceed the time that the other
/// instances take to notice the failure, or a fresh lookup returns the failed instance again.
const AVOID_MS: u64 = 3_000;

/// Timeout of a lookup, in ms.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// Identity under which a caller sends requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// API key of the workspace.
    pub key: String,
    /// Availability zone closest to the caller.
    pub zone: String,
}

#[derive(Debug, Clone, Deserialize)]
struct Lookup {
    instances: Vec<Instance>,
    keep_ms: u64,
    key_prefix: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
struct Instance {
    address: String,
}

#[derive(Debug, Default)]
struct LookupCache {
    lookup: Option<Lookup>,
    valid_until_ms: u64,
    /// Instances that failed, each with the time until which it is avoided.
    failed: Vec<(String, u64)>,
}

/// A caller. Clones share the cached lookup and the list of failed instances.
#[derive(Clone)]
pub struct Caller {
    pub(crate) tenant: Tenant,
    pub(crate) client: awc::Client,
    pub(crate) clock: Clock,
    seeds: Rc<Vec<String>>,
    cache: Rc<RefCell<LookupCache>>,
    rng: Rc<RefCell<Pcg64>>,
}

impl Caller {
    /// Creates a caller that sends its first lookup to one of the seed instances.
    pub fn new(tenant: Tenant, seeds: Vec<String>, rng: Pcg64) -> Self {
        Self {
            tenant,
            client: awc::Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
            clock: Clock::default(),
            seeds: Rc::new(seeds),
            cache: Rc::default(),
            rng: Rc::new(RefCell::new(rng)),
        }
    }

    /// Returns the first instance of the lookup that is not avoided, or the first one if all are.
    pub(crate) async fn instance(&self) -> Option<String> {
        self.refresh_lookup().await;
        let cache = self.cache.borrow();
        let lookup = cache.lookup.as_ref()?;
        let now_ms = self.clock.now_ms();
        let avoided = |address: &str| {
            cache
                .failed
                .iter()
                .any(|(failed, until_ms)| failed == address && now_ms < *until_ms)
        };
        let usable = lookup
            .instances
            .iter()
            .find(|instance| !avoided(&instance.address));
        usable
            .or(lookup.instances.first())
            .map(|instance| instance.address.clone())
    }

    /// Required prefix of new idempotency keys, from the current lookup.
    pub(crate) async fn key_prefix(&self) -> Option<String> {
        self.refresh_lookup().await;
        self.cache.borrow().lookup.as_ref()?.key_prefix.clone()
    }

    /// Marks an instance as failed and drops the cached lookup.
    pub(crate) fn mark_failed(&self, instance: &str) {
        let mut cache = self.cache.borrow_mut();
        let until_ms = self.clock.now_ms() + AVOID_MS;
        cache.failed.push((instance.to_owned(), until_ms));
        cache.valid_until_ms = 0;
    }

    /// Replaces the key prefix with the one that a refusal carried.
    pub(crate) fn adopt_prefix(&self, prefix: &str) {
        if let Some(lookup) = &mut self.cache.borrow_mut().lookup {
            lookup.key_prefix = Some(prefix.to_owned());
        }
    }

    pub(crate) fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    async fn refresh_lookup(&self) {
        if self.clock.now_ms() < self.cache.borrow().valid_until_ms {
            return;
        }
        let mut candidates: Vec<String> = self.seeds.to_vec();
        if let Some(lookup) = &self.cache.borrow().lookup {
            candidates.extend(
                lookup
                    .instances
                    .iter()
                    .map(|instance| instance.address.clone()),
            );
        }
        let first = self.random() as usize % candidates.len().max(1);
        for offset in 0..candidates.len() {
            let address = &candidates[(first + offset) % candidates.len()];
            let Some(lookup) = self.look_up(address).await else {
                continue;
            };
            let mut cache = self.cache.borrow_mut();
            cache.valid_until_ms = self.clock.now_ms() + lookup.keep_ms;
            let now_ms = self.clock.now_ms();
            cache.failed.retain(|(_, until_ms)| now_ms < *until_ms);
            cache.lookup = Some(lookup);
            return;
        }
    }

    async fn look_up(&self, address: &str) -> Option<Lookup> {
        let url = format!("http://{address}/v1/lookup?zone={}", self.tenant.zone);
        let request = self
            .client
            .get(url)
            .timeout(Duration::from_millis(LOOKUP_TIMEOUT_MS));
        let mut response = request.send().await.ok()?;
        let lookup = response.json::<Lookup>().await.ok()?;
        (!lookup.instances.is_empty()).then_some(lookup)
    }
}
