//! CONFIG: a route that was added later is not served any more after all servers of its service have crashed at once.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use crate::Outcome;
use crate::caller::{Addresses, call};
use crate::clock::{now_ms, random, record, sleep_ms, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const INSTANCES: u8 = 6;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 1_500;
const DOWN_MS: u64 = 4_900;
/// Threads that read one page again and again, and threads whose requests all differ.
const HOT_REQUESTERS: u64 = 30;
const OTHER_REQUESTERS: u64 = 18;
const MAX_PAUSE_MS: u64 = 600;

/// Requests sent and served, of one kind.
#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    sent: u32,
    served: u32,
}

impl Tally {
    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.sent.max(1))
    }
}

pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    let pace = Pace {
        first_ms: 0,
        gap_ms: 0,
        pieces: 0,
        is_endless: false,
        work_ms: 60,
        body_bytes: 800,
    };
    let servers: Vec<Arc<Server>> = (0..3_u8)
        .map(|number| {
            let zone = ZONES[usize::from(number)];
            let id = format!("i-{:08x}", 0x5a2b_3c00 + u32::from(number) * 7);
            Server::start(
                id,
                net.at(101 + number, 8_080),
                (zone, "desk", Kind::Plain, pace),
                &store,
            )
        })
        .collect();
    store.put("keyed.op", "config", &config(7, FIRST_ROUTES));
    let mut fleet = Fleet::start(program, net, INSTANCES, store.address);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    let directories: Vec<_> = fleet.instances.iter().map(|it| it.directory).collect();
    let addresses: Vec<Arc<Addresses>> = ZONES
        .map(|it| Addresses::follow(directories.clone(), it.to_owned()))
        .into();
    sleep_until(TRAFFIC_MS - 3_000);
    record("config 8 adds the route /pages/");
    store.put(
        "keyed.op",
        "config",
        &config(8, &format!("{FIRST_ROUTES},{ADDED_ROUTE}")),
    );
    sleep_until(TRAFFIC_MS);
    let is_over = Arc::new(AtomicBool::new(false));
    let is_counted = Arc::new(AtomicBool::new(false));
    let tallies: Arc<Mutex<[Tally; 2]>> = Arc::default();
    let mut threads = Vec::new();
    for requester in 0..HOT_REQUESTERS + OTHER_REQUESTERS {
        let addresses = Arc::clone(&addresses[requester as usize % ZONES.len()]);
        let (is_over, is_counted, tallies) = (
            Arc::clone(&is_over),
            Arc::clone(&is_counted),
            Arc::clone(&tallies),
        );
        threads.push(std::thread::spawn(move || {
            let is_hot = requester < HOT_REQUESTERS;
            sleep_ms(requester * 17);
            while !is_over.load(Ordering::SeqCst) {
                let counts = is_counted.load(Ordering::SeqCst);
                let target = if is_hot {
                    "/pages/prices".to_owned()
                } else {
                    format!("/desk/{:x}", random())
                };
                let status = call(&addresses, "GET", &target, DEADLINE_MS);
                if counts {
                    let tally = &mut tallies.lock().unwrap()[usize::from(is_hot)];
                    tally.sent += 1;
                    tally.served += u32::from(status == 200);
                }
                sleep_ms(random() % MAX_PAUSE_MS);
            }
        }));
    }
    sleep_ms(5_000);
    if has_trouble {
        // None answers any more when the first connection closes.
        servers.iter().for_each(|it| it.stop());
        sleep_ms(10);
        servers.iter().for_each(|it| it.crash());
    }
    sleep_ms(DOWN_MS);
    if has_trouble {
        servers.iter().for_each(|it| it.begin_life("v1"));
    }
    // Twice `stableMs`, after which all is steady again.
    sleep_ms(6_000);
    record("from here on requests are counted");
    is_counted.store(true, Ordering::SeqCst);
    let began = now_ms();
    sleep_until(began + 20_000);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    if !fleet.all_run() {
        return Outcome::CouldNotRun("an instance ended by itself".to_owned());
    }
    for line in fleet.log_lines(&["terminates upstreams"]) {
        record(&line);
    }
    let [first, added] = *tallies.lock().unwrap();
    let line = format!(
        "first route: {} of {} served; added route: {} of {} served (under a quarter as often breaks the rule)",
        first.served, first.sent, added.served, added.sent
    );
    record(&line);
    println!("{line}");
    if first.sent < 100 || added.sent < 20 || first.share() < 0.5 {
        return Outcome::CouldNotRun("hardly a request was served".to_owned());
    }
    if added.share() < first.share() / 4.0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

fn config(version: u32, routes: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"desk","healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false}}],"limits":{{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}}}"#
    )
}

const FIRST_ROUTES: &str = r#"{"name":"r-desk","host":"one.example","prefix":"/desk/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}"#;

const ADDED_ROUTE: &str = r#"{"name":"r-pages","host":"one.example","prefix":"/pages/","kind":"safe","timeoutMs":1500,"goalMs":300,"priority":2,"service":"desk","maxAttempts":2}"#;
