//! The platform and the upstreams of the demo, as stand-ins in this process.

use conf::{Settings, hex_sha256, parse_settings};
use model::Deployment;
use serde_json::json;
use sha2::{Digest, Sha256};
use standin::{
    EngineOptions, EngineStandin, InstanceEntry, InstanceList, InstanceState, LogFaults,
    LogStandin, ServiceOptions, ServiceStandin, WeightStoreStandin,
};

use super::Result;
use super::threads::InstanceThread;

/// Key of the only operator of the demo.
pub const OPERATOR_KEY: &str = "demo-operator";

/// Delay with which the instance list shows changes.
const LIST_LAG_MS: u64 = 500;

/// Time that the weight store takes to serve one set of weights.
const FETCH_MS: u64 = 100;

/// Duration of a call at the plain service.
const CALL_MS: u64 = 8;

/// Log, instance list, weight store, engines and services.
pub struct Platform {
    log: LogStandin,
    list: InstanceList,
    _weights: WeightStoreStandin,
    engines: Vec<(String, EngineStandin)>,
    services: Vec<ServiceStandin>,
}

impl Platform {
    /// Starts the stand-ins of a deployment.
    pub async fn start(deployment: Deployment) -> Result<Self> {
        let any_port = "127.0.0.1:0";
        let log = LogStandin::start(any_port).await?;
        let list = InstanceList::start(any_port, LIST_LAG_MS).await?;
        let weights = WeightStoreStandin::start(any_port, FETCH_MS).await?;
        let mut platform = Self {
            log,
            list,
            _weights: weights.clone(),
            engines: Vec::new(),
            services: Vec::new(),
        };
        for number in 0..deployment.engines() {
            let name = format!("engine-{}", number + 1);
            let mut options = EngineOptions::new(&name, &format!("{}@v1", deployment.model()));
            options.weight_store = weights.address();
            options.checks_orders = number % 2 == 0;
            let engine = EngineStandin::start(any_port, options).await?;
            let zone = deployment.zones()[number % 3];
            platform.list_upstream(&name, "engine", &engine.address(), zone, deployment.model());
            platform.engines.push((name, engine));
        }
        for number in 0..deployment.service_instances() {
            let name = format!("{}-{}", deployment.service().0, number + 1);
            let options = ServiceOptions {
                name: name.clone(),
                call_ms: CALL_MS,
            };
            let service = ServiceStandin::start(any_port, options).await?;
            let zone = deployment.zones()[number % 3];
            platform.list_upstream(
                &name,
                "service",
                &service.address(),
                zone,
                deployment.service().0,
            );
            platform.services.push(service);
        }
        Ok(platform)
    }

    fn list_upstream(&self, name: &str, kind: &str, address: &str, zone: &str, serves: &str) {
        self.list.put(InstanceEntry {
            name: name.to_owned(),
            kind: kind.to_owned(),
            address: address.to_owned(),
            peer_address: String::new(),
            zone: zone.to_owned(),
            serves: serves.to_owned(),
            checks_orders: false,
            state: InstanceState::Live,
        });
    }

    fn listed(instance: &InstanceThread, zone: &str, state: InstanceState) -> InstanceEntry {
        InstanceEntry {
            name: instance.name.clone(),
            kind: "entry".to_owned(),
            address: instance.caller_address.clone(),
            peer_address: instance.peer_address.clone(),
            zone: zone.to_owned(),
            serves: String::new(),
            checks_orders: false,
            state,
        }
    }

    /// Adds an entry instance to the list.
    pub fn list_instance(&self, instance: &InstanceThread, zone: &str) {
        self.list
            .put(Self::listed(instance, zone, InstanceState::Live));
    }

    /// Removes an entry instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.list.remove(name);
    }

    /// Addresses of the log and of the instance list.
    pub fn addresses(&self) -> serde_json::Value {
        json!({ "log": self.log.address(), "instances": self.list.address() })
    }

    /// Number of appends that the log accepted.
    pub fn appends(&self) -> u64 {
        self.log.appends()
    }

    /// Makes the log unavailable, or available again.
    pub fn set_log_down(&self, down: bool) {
        self.log.set_faults(LogFaults {
            down,
            ..LogFaults::default()
        });
    }

    /// Name of the engine with this index.
    pub fn engine_name(&self, index: usize) -> String {
        self.engines[index].0.clone()
    }

    /// Number of role orders that engines accepted.
    pub fn role_changes(&self) -> usize {
        let orders = self
            .engines
            .iter()
            .flat_map(|(_, engine)| engine.accepted_orders());
        orders.filter(|(_, what)| what.starts_with("role")).count()
    }

    /// Number of calls that ran twice, did not run exactly once although answered, or ran although
    /// refused as not run.
    pub fn at_most_once_violations(
        &self,
        path: &str,
        answered: &[String],
        refused: &[String],
    ) -> u64 {
        let mut effects = std::collections::BTreeMap::<String, u64>::new();
        for service in &self.services {
            for (what, count) in service.effects() {
                *effects.entry(what).or_default() += count;
            }
        }
        let count = |body: &String| effects.get(&format!("{path} {body}")).copied().unwrap_or(0);
        let twice = effects.values().filter(|&&count| count > 1).count();
        let missing = answered.iter().filter(|body| count(body) != 1).count();
        let wrongly_refused = refused.iter().filter(|body| count(body) != 0).count();
        (twice + missing + wrongly_refused) as u64
    }

    /// Settings of an entry instance.
    pub fn settings(&self, name: &str, zone: &str) -> Settings {
        let text = json!({
            "instance": name,
            "zone": zone,
            "region": "demo",
            "operator_key_sha256": [{ "operator": "demo", "sha256": sha256(OPERATOR_KEY) }],
            "platform": { "log": self.log.address(), "instances": self.list.address() },
        });
        parse_settings(&text.to_string(), "demo").expect("the demo's own settings are well formed")
    }
}

/// API key of the only workspace of a member.
pub fn member_key(member: &str) -> String {
    format!("demo-{member}")
}

fn sha256(text: &str) -> String {
    hex_sha256(&Sha256::digest(text.as_bytes()))
}

/// Creates the bundle of a version. Each version has different weights.
pub fn bundle(deployment: Deployment, version: u64) -> String {
    let (service, path) = deployment.service();
    let members: Vec<_> = deployment
        .members()
        .iter()
        .map(|member| {
            json!({
                "name": member,
                "share": 1,
                "workspaces": [{
                    "name": format!("{member}/main"),
                    "key_sha256": sha256(&member_key(member)),
                    "class": "quick",
                }],
            })
        })
        .collect();
    let bundle = json!({
        "version": version,
        "base": version - 1,
        "models": [{ "name": deployment.model(), "version": format!("v{version}") }],
        "classes": [
            { "name": "urgent", "rank": 0, "deadline_ms": 2_000 },
            { "name": "quick", "rank": 1, "deadline_ms": 5_000 },
            { "name": "long", "rank": 2, "deadline_ms": 10_000 },
        ],
        "members": members,
        "services": [{ "name": service, "once_paths": [path] }],
        "policy": { "role_change_weight": deployment.role_change_weight() },
    });
    bundle.to_string()
}
