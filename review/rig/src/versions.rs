//! ORDER: streams that hold events of two software versions of a service.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::Outcome;
use crate::caller::{Addresses, Streamed, stream};
use crate::clock::{now_ms, random, record, sleep_ms, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

const DECODERS: u8 = 12;
const PREFILLERS: u8 = 6;
const INSTANCES: u8 = 6;
const REQUESTERS: u64 = 36;
/// Longest pause of a requester between two requests, in ms.
const MAX_PAUSE_MS: u64 = 1_200;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 3_000;
/// Servers that crash, of 18.
const CRASHED: usize = 4;
/// How long they are down, and up before the second crash, in ms.
const DOWN_MS: u64 = 800;
const UP_MS: u64 = 2_700;
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

/// Plays the case; the store is down for 4.5 s, in which four servers crash twice, and are back after 0.8 s each time.
pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    let pace = Pace {
        first_ms: 30,
        gap_ms: 100,
        pieces: 16,
        is_endless: false,
        work_ms: 15,
        body_bytes: 0,
    };
    let mut engines = Vec::new();
    for number in 0..DECODERS + PREFILLERS {
        let kind = if number < DECODERS {
            Kind::Decode
        } else {
            Kind::Prefill
        };
        let zone = ZONES[usize::from(number) % ZONES.len()];
        let id = format!("i-{:08x}", 0x1a2b_3c00 + u32::from(number) * 7);
        engines.push(Server::start(
            id,
            net.at(101 + number, 8_080),
            (zone, "text", kind, pace),
            &store,
        ));
    }
    for engine in &engines {
        engine.meet(&engines);
    }
    store.put("keyed.op", "config", CONFIG);
    let mut fleet = Fleet::start(program, net, INSTANCES, store.address);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    let directories: Vec<_> = fleet.instances.iter().map(|it| it.directory).collect();
    let addresses: Vec<Arc<Addresses>> = ZONES
        .map(|it| Addresses::follow(directories.clone(), it.to_owned()))
        .into();
    sleep_until(TRAFFIC_MS);
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let results: Arc<Mutex<Vec<Streamed>>> = Arc::default();
    let mut threads = Vec::new();
    for requester in 0..REQUESTERS {
        let addresses = Arc::clone(&addresses[requester as usize % ZONES.len()]);
        let (is_over, number, results) = (
            Arc::clone(&is_over),
            Arc::clone(&number),
            Arc::clone(&results),
        );
        threads.push(std::thread::spawn(move || {
            sleep_ms(requester * 53);
            while !is_over.load(Ordering::SeqCst) {
                let number = number.fetch_add(1, Ordering::SeqCst);
                let streamed = stream(&addresses, "/text/", number, DEADLINE_MS);
                results.lock().unwrap().push(streamed);
                sleep_ms(random() % MAX_PAUSE_MS);
            }
        }));
    }
    sleep_ms(8_000);
    let began = now_ms();
    if has_trouble {
        disturb(&store, &engines[..CRASHED]);
    }
    sleep_until(began + 12_000);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if !fleet.all_run() {
        return Outcome::CouldNotRun("an instance ended by itself".to_owned());
    }
    for line in fleet.log_lines(&["stream resumed", "stream interrupted", "not taken up"]) {
        record(&line);
    }
    verdict(&results.lock().unwrap())
}

fn disturb(store: &Store, crashed: &[Arc<Server>]) {
    record("the store is down");
    store.is_down.store(true, Ordering::SeqCst);
    sleep_ms(100);
    for up_ms in [UP_MS, 100] {
        crashed.iter().for_each(|it| it.crash());
        sleep_ms(DOWN_MS);
        crashed.iter().for_each(|it| it.begin_life("v2"));
        sleep_ms(up_ms);
    }
    record("the store is back");
    store.is_down.store(false, Ordering::SeqCst);
}

/// Judges by the events that requesters got.
fn verdict(results: &[Streamed]) -> Outcome {
    let complete = results.iter().filter(|it| it.is_complete).count();
    let mixed: Vec<&Streamed> = results
        .iter()
        .filter(|it| it.versions().len() > 1)
        .collect();
    for streamed in &mixed {
        let servers: Vec<String> = streamed
            .events
            .iter()
            .map(|it| format!("{}:{}", it.0, it.1))
            .collect();
        record(&format!(
            "mixed over {} tries: {}",
            streamed.tries,
            servers.join(" ")
        ));
    }
    let line = format!(
        "{} streams, {complete} complete, {} with events of two versions (more than two break the rule)",
        results.len(),
        mixed.len()
    );
    record(&line);
    println!("{line}");
    if complete * 2 < results.len() {
        return Outcome::CouldNotRun("hardly a stream was served".to_owned());
    }
    if mixed.len() > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-text","host":"one.example","prefix":"/text/","kind":"stream","timeoutMs":3000,"goalMs":300,"priority":0,"service":"text","maxAttempts":2,"sticky":true,"resumable":true,"gapGoalMs":150}],"services":[{"name":"text","healthPath":"/healthz","maxConns":170,"proto":"h1","tls":false,"engine":{"slots":12,"kvCap":421724,"tokenBytes":131072,"linkMbps":840000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;
