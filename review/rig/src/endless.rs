//! CONFIG: streams that a server writes without end, and that are passed on past the route's timeout.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use crate::Outcome;
use crate::clock::{now_ms, random, record, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::store::Store;

const INSTANCES: u8 = 3;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 8_000;
const TIMEOUT_MS: u64 = 1_500;
/// Time after the timeout in which a final answer has to come.
const LATE_MS: u64 = 500;
const REQUESTERS: u64 = 6;
/// Requests without a final answer from which the rule is broken.
const BROKEN: usize = 8;

pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    let pace = Pace {
        first_ms: 30,
        gap_ms: 100,
        pieces: 100,
        is_endless: has_trouble,
        work_ms: 0,
        body_bytes: 0,
    };
    for number in 0..3 {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number)];
        let id = format!("i-{:08x}", 0x1a2b_3c00 + u32::from(number) * 7);
        Server::start(
            id,
            net.at(101 + number, 8_080),
            (zone, "text", Kind::Decode, pace),
            &store,
        );
    }
    store.put("keyed.op", "config", CONFIG);
    let mut fleet = Fleet::start(program, net, INSTANCES, store.address);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    sleep_until(TRAFFIC_MS);
    let mut threads = Vec::new();
    for instance in &fleet.instances {
        let front = instance.front;
        for number in 0..REQUESTERS {
            threads.push(std::thread::spawn(move || ask(front, number)));
        }
    }
    let mut lasted = Vec::new();
    for thread in threads {
        match thread.join() {
            Ok(Ok(ms)) => lasted.push(ms),
            _ => return Outcome::CouldNotRun("a stream did not begin".to_owned()),
        }
    }
    if !fleet.all_run() {
        return Outcome::CouldNotRun("an instance ended by itself".to_owned());
    }
    let late = lasted
        .iter()
        .filter(|ms| **ms > TIMEOUT_MS + LATE_MS)
        .count();
    let line = format!(
        "{} requests last longer than the timeout of {TIMEOUT_MS} ms, {late} have no end {LATE_MS} ms after it ({BROKEN} and over a quarter break the rule)",
        lasted.len()
    );
    record(&line);
    println!("{line}");
    if late >= BROKEN && late * 4 > lasted.len() {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Asks for a stream and reads what comes until the channel ends or the time budget is over; the time that took, in ms.
fn ask(front: SocketAddr, number: u64) -> io::Result<u64> {
    let attempt = format!("{:016x}", random());
    let content = format!("question {number} {attempt}");
    let began = now_ms();
    record(&format!("sent {attempt} to {front}"));
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    let request = format!(
        "POST /text/{number} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 100,80\r\nPrompt-Prefix: 51:40,{:x}:60\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{content}",
        random(),
        content.len()
    );
    stream.write_all(request.as_bytes())?;
    let mut got = 0;
    let mut some = vec![0; 65_536];
    let ended = loop {
        let left = (began + DEADLINE_MS).saturating_sub(now_ms());
        if left == 0 {
            break "the time budget is over".to_owned();
        }
        stream.set_read_timeout(Some(Duration::from_millis(left)))?;
        match stream.read(&mut some) {
            Ok(0) => break "the channel ends".to_owned(),
            Ok(count) => {
                if got == 0 && !some.starts_with(b"HTTP/1.1 200") {
                    record(&format!(
                        "answered {attempt}: {}",
                        String::from_utf8_lossy(&some[..count.min(40)])
                    ));
                    return Err(io::Error::other("no stream"));
                }
                got += count;
                if some[..count].ends_with(b"\r\n0\r\n\r\n") {
                    break "the stream is complete".to_owned();
                }
            }
            Err(error) => break error.to_string(),
        }
    };
    let took = now_ms() - began;
    record(&format!(
        "answered {attempt}: {got} bytes, {ended} after {took} ms"
    ));
    Ok(took)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-text","host":"one.example","prefix":"/text/","kind":"stream","timeoutMs":1500,"goalMs":300,"priority":0,"service":"text","maxAttempts":1,"sticky":true,"resumable":false,"gapGoalMs":150}],"services":[{"name":"text","healthPath":"/healthz","maxConns":170,"proto":"h1","tls":false,"engine":{"slots":12,"kvCap":421724,"tokenBytes":131072,"linkMbps":840000.0,"moves":true,"backups":true,"stride":11,"most":12,"handleTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;
