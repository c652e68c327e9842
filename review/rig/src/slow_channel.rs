//! LOST: kept channels that are closed before the whole answer was passed on, since the requester reads it slowly.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

use crate::Outcome;
use crate::clock::{now_ms, random, record, sleep_ms, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::slow_reader::connect_small;
use crate::store::Store;

const INSTANCES: u8 = 3;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 8_000;
const BODY_BYTES: usize = 250_000;
/// How a slow reader reads: steadily, so that it has all after 6.5 s.
const READ_BYTES: usize = 10_000;
const READ_PAUSE_MS: u64 = 260;
const REQUESTERS: u64 = 4;
/// Channels that the rule allows to be closed without an answer.
const ALLOWED: usize = 3;

pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    for (service, first, body_bytes) in [("files", 101, BODY_BYTES), ("desk", 111, 800)] {
        let pace = Pace {
            first_ms: 0,
            gap_ms: 0,
            pieces: 0,
            is_endless: false,
            work_ms: 15,
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
    let mut fleet = Fleet::start(program, net, INSTANCES, store.address);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    sleep_until(TRAFFIC_MS);
    let mut threads = Vec::new();
    for instance in &fleet.instances {
        let front = instance.front;
        for number in 0..REQUESTERS {
            threads.push(std::thread::spawn(move || {
                converse(front, number, has_trouble)
            }));
        }
    }
    let mut found = Vec::new();
    for thread in threads {
        match thread.join() {
            Ok(Some(is_whole)) => found.push(is_whole),
            _ => return Outcome::CouldNotRun("a channel brought no first answer".to_owned()),
        }
    }
    if !fleet.all_run() {
        return Outcome::CouldNotRun("an instance ended by itself".to_owned());
    }
    let closed = found.iter().filter(|is_whole| !**is_whole).count();
    let line = format!(
        "{} kept channels, {closed} closed without a whole answer (more than {ALLOWED} break the rule)",
        found.len()
    );
    record(&line);
    println!("{line}");
    if closed > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends a request with a short answer and, on the same channel, one with a long answer; whether that came whole. None if
/// the first one was not answered.
fn converse(front: SocketAddr, number: u64, is_slow: bool) -> Option<bool> {
    let mut stream = connect_small(front, 16_384).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let first = format!("{:016x}", random());
    send(&mut stream, &first, &format!("/desk/{number}")).ok()?;
    let length = read_head(&mut stream).ok()?;
    stream.read_exact(&mut vec![0; length]).ok()?;
    let attempt = format!("{:016x}", random());
    record(&format!(
        "sent {attempt} to {front} on the channel that brought the answer to {first}"
    ));
    let began = now_ms();
    let (got, ended) = match read_long(&mut stream, &attempt, is_slow) {
        (got, None) => (got, "it is whole".to_owned()),
        (got, Some(error)) => (got, format!("the channel is closed: {error}")),
    };
    record(&format!(
        "answered {attempt}: {got} of {BODY_BYTES} bytes after {} ms, {ended}",
        now_ms() - began
    ));
    Some(got == BODY_BYTES)
}

fn send(stream: &mut TcpStream, attempt: &str, target: &str) -> io::Result<()> {
    let request = format!(
        "GET {target} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())
}

/// Reads the head of an answer with status 200; the length of its body.
fn read_head(stream: &mut TcpStream) -> io::Result<usize> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|it| it.trim().parse().ok());
    length
        .filter(|_| text.starts_with("http/1.1 200"))
        .ok_or_else(|| io::Error::other(text))
}

fn read_long(stream: &mut TcpStream, attempt: &str, is_slow: bool) -> (usize, Option<io::Error>) {
    let head = send(stream, attempt, &format!("/files/{attempt}")).and_then(|()| read_head(stream));
    if let Err(error) = head {
        return (0, Some(error));
    }
    let mut got = 0;
    let mut some = vec![0; READ_BYTES];
    while got < BODY_BYTES {
        let length = READ_BYTES.min(BODY_BYTES - got);
        if let Err(error) = stream.read_exact(&mut some[..length]) {
            return (got, Some(error));
        }
        got += length;
        if is_slow {
            sleep_ms(READ_PAUSE_MS);
        }
    }
    (got, None)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-files","host":"one.example","prefix":"/files/","kind":"safe","timeoutMs":8000,"goalMs":300,"priority":2,"service":"files","maxAttempts":2},{"name":"r-desk","host":"one.example","prefix":"/desk/","kind":"safe","timeoutMs":8000,"goalMs":600,"priority":2,"service":"desk","maxAttempts":2}],"services":[{"name":"files","healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false},{"name":"desk","healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;
