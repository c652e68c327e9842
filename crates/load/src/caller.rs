//! A caller: looks instances up, keeps the answer a while and goes elsewhere when one fails.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand_pcg::Pcg64;
use serde::Deserialize;
use tick::Clock;

/// Time for which an instance that failed is passed over: longer than instances take to notice
/// that it is gone, or a fresh lookup would name it again at once.
const SHUN_MS: u64 = 3_000;

/// Time for a lookup.
const LOOKUP_MS: u64 = 1_000;

/// Whose requests a caller makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tenant {
    /// API key.
    pub key: String,
    /// Availability zone that the caller is nearest to.
    pub zone: String,
}

#[derive(Debug, Clone, Deserialize)]
struct LookedUp {
    instances: Vec<Instance>,
    keep_ms: u64,
    key_prefix: Option<String>,
}

#[derive(Debug, Clone, Deserialize)]
struct Instance {
    address: String,
}

#[derive(Debug, Default)]
struct Kept {
    answer: Option<LookedUp>,
    until_ms: u64,
    /// Instances that failed, and until when they are passed over.
    failed: Vec<(String, u64)>,
}

/// One caller.
#[derive(Clone)]
pub struct Caller {
    pub(crate) tenant: Tenant,
    pub(crate) client: awc::Client,
    pub(crate) clock: Clock,
    seeds: Rc<Vec<String>>,
    kept: Rc<RefCell<Kept>>,
    rng: Rc<RefCell<Pcg64>>,
}

impl Caller {
    /// A caller that knows some instances to ask for others.
    pub fn new(tenant: Tenant, seeds: Vec<String>, rng: Pcg64) -> Self {
        Self {
            tenant,
            client: awc::Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
            clock: Clock::default(),
            seeds: Rc::new(seeds),
            kept: Rc::default(),
            rng: Rc::new(RefCell::new(rng)),
        }
    }

    /// An instance to use now.
    pub(crate) async fn instance(&self) -> Option<String> {
        self.refresh().await;
        let kept = self.kept.borrow();
        let answer = kept.answer.as_ref()?;
        let now_ms = self.clock.now_ms();
        let shunned = |address: &str| {
            kept.failed
                .iter()
                .any(|(failed, until_ms)| failed == address && now_ms < *until_ms)
        };
        let good = answer
            .instances
            .iter()
            .find(|instance| !shunned(&instance.address));
        good.or(answer.instances.first())
            .map(|instance| instance.address.clone())
    }

    /// What an idempotency key must begin with, fresh from an instance.
    pub(crate) async fn key_prefix(&self) -> Option<String> {
        self.refresh().await;
        self.kept.borrow().answer.as_ref()?.key_prefix.clone()
    }

    /// The instance failed: the next request goes elsewhere, and asks anew.
    pub(crate) fn failed(&self, instance: &str) {
        let mut kept = self.kept.borrow_mut();
        let until_ms = self.clock.now_ms() + SHUN_MS;
        kept.failed.push((instance.to_owned(), until_ms));
        kept.until_ms = 0;
    }

    /// The part that a key made from a refusal's own prefix begins with.
    pub(crate) fn adopt_prefix(&self, prefix: &str) {
        if let Some(answer) = &mut self.kept.borrow_mut().answer {
            answer.key_prefix = Some(prefix.to_owned());
        }
    }

    pub(crate) fn random(&self) -> u64 {
        self.rng.borrow_mut().random()
    }

    async fn refresh(&self) {
        if self.clock.now_ms() < self.kept.borrow().until_ms {
            return;
        }
        let mut asked: Vec<String> = self.seeds.to_vec();
        if let Some(answer) = &self.kept.borrow().answer {
            asked.extend(
                answer
                    .instances
                    .iter()
                    .map(|instance| instance.address.clone()),
            );
        }
        let begin = self.random() as usize % asked.len().max(1);
        for place in 0..asked.len() {
            let address = &asked[(begin + place) % asked.len()];
            let Some(answer) = self.look_up(address).await else {
                continue;
            };
            let mut kept = self.kept.borrow_mut();
            kept.until_ms = self.clock.now_ms() + answer.keep_ms;
            let now_ms = self.clock.now_ms();
            kept.failed.retain(|(_, until_ms)| now_ms < *until_ms);
            kept.answer = Some(answer);
            return;
        }
    }

    async fn look_up(&self, address: &str) -> Option<LookedUp> {
        let url = format!("http://{address}/v1/lookup?zone={}", self.tenant.zone);
        let request = self
            .client
            .get(url)
            .timeout(Duration::from_millis(LOOKUP_MS));
        let mut response = request.send().await.ok()?;
        let answer = response.json::<LookedUp>().await.ok()?;
        (!answer.instances.is_empty()).then_some(answer)
    }
}
