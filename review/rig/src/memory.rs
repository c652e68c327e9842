//! LOST: a process that holds more for slow readers than its machine has memory, and is killed with all its requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Outcome;
use crate::clock::{now_ms, random, record, sleep_ms, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::http::Conn;
use crate::slow_reader::connect_small;
use crate::store::Store;

const INSTANCES: u8 = 3;
const RAM_MB: u64 = 120;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 8_000;
const BODY_BYTES: usize = 1_000_000;
/// Requesters of each instance that read a large answer, and that read small ones on a channel that they keep.
const READERS: u64 = 170;
const KEEPERS: u64 = 6;
/// How a slow reader reads: so much at a time, for so long; then the rest at once.
const READ_BYTES: usize = 5_000;
const READ_PAUSE_MS: u64 = 250;
const SLOW_MS: u64 = 3_500;
/// Requests on kept channels that the rule allows to be closed without an answer.
const ALLOWED: u64 = 3;

pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    for (service, first, work_ms, body_bytes) in
        [("files", 101, 5, BODY_BYTES), ("desk", 111, 300, 800)]
    {
        let pace = Pace {
            first_ms: 0,
            gap_ms: 0,
            pieces: 0,
            is_endless: false,
            work_ms,
            body_bytes,
        };
        for number in 0..3 {
            let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number)];
            let id = format!("i-{:08x}", u32::from(first) << 16 | u32::from(number));
            Server::start(
                id,
                net.at(first + number, 8_080),
                (zone, service, Kind::Plain, pace),
                &store,
            );
        }
    }
    store.put("keyed.op", "config", CONFIG);
    let mut fleet = Fleet::start_with_memory(program, net, INSTANCES, store.address, RAM_MB);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    sleep_until(TRAFFIC_MS);
    let unanswered = Arc::new(AtomicU64::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let (whole, cut) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    for instance in &fleet.instances {
        let front = instance.front;
        for number in 0..KEEPERS {
            let (unanswered, is_over) = (Arc::clone(&unanswered), Arc::clone(&is_over));
            threads.push(std::thread::spawn(move || {
                keep(front, number, &unanswered, &is_over)
            }));
        }
        for number in 0..READERS {
            let (whole, cut) = (Arc::clone(&whole), Arc::clone(&cut));
            threads.push(std::thread::spawn(move || {
                sleep_ms(1_000 + number * 12);
                let count = if read(front, has_trouble) { whole } else { cut };
                count.fetch_add(1, Ordering::SeqCst);
            }));
        }
    }
    let mut most_kb = 0;
    let mut killed = 0;
    while now_ms() < TRAFFIC_MS + 12_000 {
        for number in 0..usize::from(INSTANCES) {
            let memory_kb = fleet.memory_kb(number);
            most_kb = most_kb.max(memory_kb);
            if memory_kb > RAM_MB * 1_024 {
                // What the platform does with such a process.
                record(&format!(
                    "{} uses {memory_kb} kB",
                    fleet.instances[number].name
                ));
                fleet.wait_end(number, 0);
                fleet.launch(number);
                killed += 1;
            }
        }
        sleep_ms(10);
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let unanswered = unanswered.load(Ordering::SeqCst);
    let line = format!(
        "{killed} processes over {RAM_MB} MB (most {most_kb} kB); large answers: {} whole, {} cut; requests on kept channels closed without an answer: {unanswered} (more than {ALLOWED} break the rule)",
        whole.load(Ordering::SeqCst),
        cut.load(Ordering::SeqCst)
    );
    record(&line);
    println!("{line}");
    if unanswered > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends small requests on one channel; counts those whose channel is closed without an answer after others were answered
/// on it.
fn keep(front: SocketAddr, number: u64, unanswered: &AtomicU64, is_over: &AtomicBool) {
    while !is_over.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
            sleep_ms(100);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        let mut conn = Conn::new(stream);
        let mut answered = 0;
        while !is_over.load(Ordering::SeqCst) {
            let attempt = format!("{:016x}", random());
            record(&format!(
                "sent {attempt} to {front} on a channel with {answered} answers"
            ));
            let request = format!(
                "GET /desk/{number} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 5000\r\n\r\n"
            );
            let answer = conn
                .write(request.as_bytes())
                .and_then(|()| conn.read_answer());
            match answer {
                Ok(answer) => {
                    record(&format!("answered {attempt}: {}", answer.status()));
                    answered += 1;
                }
                Err(error) => {
                    record(&format!("channel of {attempt} closed: {error}"));
                    unanswered.fetch_add(u64::from(answered > 0), Ordering::SeqCst);
                    break;
                }
            }
        }
    }
}

/// Reads one large answer; whether it came whole.
fn read(front: SocketAddr, is_slow: bool) -> bool {
    let attempt = format!("{:016x}", random());
    record(&format!("sent {attempt} to {front}"));
    let got = exchange(front, &attempt, is_slow);
    record(&format!(
        "answered {attempt} by {front}: {got} bytes with the head"
    ));
    got >= BODY_BYTES
}

fn exchange(front: SocketAddr, attempt: &str, is_slow: bool) -> usize {
    let Ok(mut stream) = connect_small(front, 16_384) else {
        return 0;
    };
    let request = format!(
        "GET /files/{attempt} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\n"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let began = now_ms();
    let mut got = 0;
    let mut some = vec![0; READ_BYTES];
    while let Ok(count) = stream.read(&mut some) {
        if count == 0 {
            break;
        }
        got += count;
        if is_slow && now_ms() < began + SLOW_MS {
            sleep_ms(READ_PAUSE_MS);
        }
    }
    got
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-files","host":"one.example","prefix":"/files/","kind":"safe","timeoutMs":8000,"goalMs":300,"priority":2,"service":"files","maxAttempts":2},{"name":"r-desk","host":"one.example","prefix":"/desk/","kind":"safe","timeoutMs":8000,"goalMs":600,"priority":2,"service":"desk","maxAttempts":2}],"services":[{"name":"files","healthPath":"/healthz","maxConns":430,"proto":"h1","tls":false},{"name":"desk","healthPath":"/healthz","maxConns":430,"proto":"h1","tls":false}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;
