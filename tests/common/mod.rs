//! Runs real `chicoryrackd` processes on free ports of 127.0.0.1 against stand-ins for the platform.

#![allow(dead_code, reason = "each test program uses its own part")]

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use chicoryrack::standin::{
    EngineOptions, EngineStandin, InstanceEntry, InstanceList, InstanceState, LogStandin,
    ServiceOptions, ServiceStandin,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

pub const OPERATOR_KEY: &str = "operator-key";
pub const MEMBER_KEY: &str = "member-key";
pub const MODEL: &str = "annagrade-llm";

/// Timeout of every wait. It is generous, as only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Makes the names of settings files unique among the tests of one program, which run in parallel.
static NEXT_FILE: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);

/// An entry instance in its own process, killed when dropped.
pub struct Daemon {
    child: Child,
    pub name: String,
    pub zone: String,
    pub caller_address: String,
    pub peer_address: String,
    settings: std::path::PathBuf,
}

impl Daemon {
    pub fn start(name: &str, zone: &str, platform: &Platform) -> Self {
        let settings = json!({
            "instance": name,
            "zone": zone,
            "region": "kolkata",
            "operator_key_sha256": [{ "operator": "asha", "sha256": sha256(OPERATOR_KEY) }],
            "platform": { "log": platform.log.address(), "instances": platform.list.address(), "poll_ms": 50, "snapshot_records": 16 },
            "lease": { "ttl_ms": 1_000, "margin_ms": 600 },
            "membership": { "beat_ms": 100, "suspect_ms": 600, "fan_out": 3 },
            "limits": { "body_bytes": 65_536, "stream_tokens": 512, "connections": 256,
                        "body_timeout_ms": 500, "stop_grace_ms": 500 },
        });
        let number = NEXT_FILE.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let file = format!("chicoryrack-{}-{number}.json", std::process::id());
        let file = std::env::temp_dir().join(file);
        std::fs::write(&file, format!("// Written by a test.\n{settings}"))
            .expect("temp dir is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_chicoryrackd"))
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut line = String::new();
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the daemon prints its addresses");
        let addresses: Value = serde_json::from_str(&line).expect("one JSON line");
        let text = |name: &str| addresses[name].as_str().unwrap_or_default().to_owned();
        let daemon = Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller_address: text("caller_address"),
            peer_address: text("peer_address"),
            child,
            settings: file,
        };
        platform.list_entry(&daemon);
        daemon
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: a plain system call. The ID belongs to this child, which has not been waited for.
        unsafe { libc::kill(self.child.id().cast_signed(), signal) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Resident memory of the process, in kB.
    pub fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Waits for the process to exit on its own and returns the exit code; `None` after the timeout.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < WAIT_TIMEOUT {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.signal(libc::SIGCONT);
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Stand-ins for the platform and the upstreams, in the process of the test.
pub struct Platform {
    pub log: LogStandin,
    pub list: InstanceList,
    pub engines: Vec<EngineStandin>,
    pub service: ServiceStandin,
}

impl Platform {
    pub async fn start(engines: usize) -> Self {
        let any_port = "127.0.0.1:0";
        let log = LogStandin::start(any_port).await.expect("log");
        let list = InstanceList::start(any_port, 100).await.expect("list");
        let options = ServiceOptions {
            name: "claimdesk-1".to_owned(),
            call_ms: 5,
        };
        let service = ServiceStandin::start(any_port, options)
            .await
            .expect("service");
        let mut platform = Self {
            log,
            list,
            engines: Vec::new(),
            service,
        };
        platform.put(
            "claimdesk-1",
            "service",
            &platform.service.address(),
            "claimdesk",
        );
        for number in 0..engines {
            let name = format!("engine-{}", number + 1);
            let mut options = EngineOptions::new(&name, &format!("{MODEL}@v1"));
            options.checks_orders = number % 2 == 0;
            let engine = EngineStandin::start(any_port, options)
                .await
                .expect("engine");
            platform.put(&name, "engine", &engine.address(), MODEL);
            platform.engines.push(engine);
        }
        platform
    }

    fn put(&self, name: &str, kind: &str, address: &str, serves: &str) {
        self.list.put(InstanceEntry {
            name: name.to_owned(),
            kind: kind.to_owned(),
            address: address.to_owned(),
            peer_address: String::new(),
            zone: "salt-lake".to_owned(),
            serves: serves.to_owned(),
            checks_orders: false,
            state: InstanceState::Live,
        });
    }

    fn list_entry(&self, daemon: &Daemon) {
        self.list.put(InstanceEntry {
            name: daemon.name.clone(),
            kind: "entry".to_owned(),
            address: daemon.caller_address.clone(),
            peer_address: daemon.peer_address.clone(),
            zone: daemon.zone.clone(),
            serves: String::new(),
            checks_orders: false,
            state: InstanceState::Live,
        });
    }
}

/// Creates the bundle of a version, with one model, one member and one service.
pub fn bundle(version: u64) -> Value {
    json!({
        "version": version,
        "base": version - 1,
        "models": [{ "name": MODEL, "version": "v1" }],
        "classes": [
            { "name": "urgent", "rank": 0, "deadline_ms": 4_000 },
            { "name": "quick", "rank": 1, "deadline_ms": 10_000 },
        ],
        "members": [{
            "name": "caterers",
            "share": 1,
            "workspaces": [{ "name": "caterers/main", "key_sha256": sha256(MEMBER_KEY) }],
        }],
        "services": [{ "name": "claimdesk", "once_paths": ["/claim"], "deadline_ms": 4_000 }],
    })
}

pub fn sha256(text: &str) -> String {
    chicoryrack::conf::hex_sha256(&Sha256::digest(text.as_bytes()))
}

/// Status and body of a response.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request; returns `None` if the connection failed.
pub async fn send(
    method: &str,
    address: &str,
    path: &str,
    key: &str,
    headers: &[(&str, &str)],
    body: impl Into<String>,
) -> Option<Reply> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(30))
        .finish();
    let url = format!("http://{address}{path}");
    let mut request = match method {
        "GET" => client.get(url),
        _ => client.post(url),
    }
    .bearer_auth(key);
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let mut response = request.send_body(body.into()).await.ok()?;
    let body = response.body().limit(16 << 20).await.ok()?;
    Some(Reply {
        status: response.status().as_u16(),
        body: body.to_vec(),
    })
}

pub async fn admin(address: &str, method: &str, path: &str, body: impl Into<String>) -> Reply {
    let reply = send(
        method,
        address,
        &format!("/admin/v1/{path}"),
        OPERATOR_KEY,
        &[],
        body,
    )
    .await;
    reply.expect("the instance answers its operator")
}

/// Publishes a bundle, approves it and puts it in force.
pub async fn roll(address: &str, version: u64) {
    let published = admin(address, "POST", "bundles", bundle(version).to_string()).await;
    assert_eq!(published.status, 200, "{}", published.text());
    for verb in ["sign", "roll"] {
        let reply = admin(address, "POST", &format!("bundles/{version}/{verb}"), "").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}

/// Waits until a condition holds; panics after the timeout.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Starts one instance, puts a bundle in force and waits until the instance sees the engines live.
pub async fn start_serving(platform: &Platform) -> Daemon {
    let daemon = Daemon::start("entry-1", "salt-lake", platform);
    wait_ready(&daemon.caller_address).await;
    roll(&daemon.caller_address, 1).await;
    wait_discovered(&daemon.caller_address, 1, platform.engines.len()).await;
    daemon
}

/// Waits until an instance is ready.
pub async fn wait_ready(address: &str) {
    wait_until("the instance is ready", || async {
        send("GET", address, "/readyz", "", &[], "")
            .await
            .is_some_and(|reply| reply.status == 200)
    })
    .await;
}

/// Waits until an instance receives heartbeats from this many instances, itself included, and sees
/// at least this many engines live.
pub async fn wait_discovered(address: &str, instances: usize, engines: usize) {
    wait_until("the instances have discovered each other", || async {
        let status = admin(address, "GET", "status", "").await.json();
        let known = status["instances"].as_array().map_or(0, Vec::len);
        let all = status["engines"].as_array().cloned().unwrap_or_default();
        let live = all
            .iter()
            .filter(|engine| engine["presence"] == "live")
            .count();
        known == instances && live >= engines
    })
    .await;
}
