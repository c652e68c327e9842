//! LOST: an answer to a requester that reads slowly, while the instance is stopped as planned.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::path::PathBuf;
use std::time::Duration;

use crate::Outcome;
use crate::clock::{now_ms, random, record, sleep_ms, sleep_until};
use crate::engine::{Kind, Pace, Server};
use crate::fleet::{Fleet, Net};
use crate::store::Store;

const INSTANCES: u8 = 3;
const TRAFFIC_MS: u64 = 10_000;
const DEADLINE_MS: u64 = 8_000;
const GRACE_MS: u64 = 8_000;
const SIGTERM: i32 = 15;
/// Length of an answer.
const BODY_BYTES: usize = 900_000;
/// How a requester reads it: so much at a time, for so long; then the rest at once. All takes under 4 s, since the
/// instances reset connections on which sent or waiting data is not taken for 4 s.
const READ_BYTES: usize = 5_000;
const READ_PAUSE_MS: u64 = 250;
const SLOW_MS: u64 = 3_500;
const REQUESTERS: u64 = 6;

pub fn run(program: PathBuf, has_trouble: bool) -> Outcome {
    let net = Net::free();
    let store = Store::start(net.at(1, 8_142));
    let pace = Pace {
        first_ms: 0,
        gap_ms: 0,
        pieces: 0,
        is_endless: false,
        work_ms: 15,
        body_bytes: BODY_BYTES,
    };
    for number in 0..3 {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number)];
        let id = format!("i-{:08x}", 0x5a2b_3c00 + u32::from(number) * 7);
        Server::start(
            id,
            net.at(101 + number, 8_080),
            (zone, "desk", Kind::Plain, pace),
            &store,
        );
    }
    store.put("keyed.op", "config", CONFIG);
    let mut fleet = Fleet::start(program, net, INSTANCES, store.address);
    if !fleet.wait_ready(8_000) {
        return Outcome::CouldNotRun("the instances did not become ready".to_owned());
    }
    sleep_until(TRAFFIC_MS);
    let mut broken = 0;
    let mut complete = 0;
    for number in 0..usize::from(INSTANCES) {
        let front = fleet.instances[number].front;
        let requesters: Vec<_> = (0..REQUESTERS)
            .map(|it| std::thread::spawn(move || read(front, it)))
            .collect();
        sleep_ms(500);
        if has_trouble {
            fleet.signal(number, SIGTERM);
            fleet.wait_end(number, GRACE_MS);
        }
        for requester in requesters {
            match requester.join() {
                Ok(true) => complete += 1,
                _ => broken += 1,
            }
        }
        if has_trouble {
            fleet.launch(number);
            if !fleet.wait_ready(8_000) {
                return Outcome::CouldNotRun("an instance did not come back".to_owned());
            }
        }
    }
    let line = format!("{complete} answers complete, {broken} broken off (one breaks the rule)");
    record(&line);
    println!("{line}");
    if complete + broken < 3 || (!has_trouble && complete == 0) {
        return Outcome::CouldNotRun("no answer came".to_owned());
    }
    if broken > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Sends one read and reads the answer slowly; whether it came whole.
fn read(front: SocketAddr, number: u64) -> bool {
    let attempt = format!("{:016x}", random());
    let began = now_ms();
    record(&format!("sent {attempt} to {front}"));
    let (got, ended) = match exchange(front, &attempt, number) {
        Ok(got) => (got, "end".to_owned()),
        Err((got, error)) => (got, error.to_string()),
    };
    let is_whole = got == BODY_BYTES;
    record(&format!(
        "answered {attempt} by {front}: {got} of {BODY_BYTES} bytes after {} ms, then {ended}",
        now_ms() - began
    ));
    is_whole
}

fn exchange(front: SocketAddr, attempt: &str, number: u64) -> Result<usize, (usize, io::Error)> {
    let mut stream = connect_small(front, 16_384).map_err(|error| (0, error))?;
    let request = format!(
        "GET /desk/{number} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .map_err(|error| (0, error))?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Ok(_) => return Err((0, io::ErrorKind::UnexpectedEof.into())),
            Err(error) => return Err((0, error)),
        }
    }
    if !head.starts_with(b"HTTP/1.1 200") {
        return Err((
            0,
            io::Error::other(String::from_utf8_lossy(&head[..20]).into_owned()),
        ));
    }
    let began = now_ms();
    let mut got = 0;
    while got < BODY_BYTES {
        let mut some = vec![0; READ_BYTES.min(BODY_BYTES - got)];
        let mut count = 0;
        while count < some.len() {
            match stream.read(&mut some[count..]) {
                Ok(0) => return Err((got + count, io::ErrorKind::UnexpectedEof.into())),
                Ok(more) => count += more,
                Err(error) => return Err((got + count, error)),
            }
        }
        got += count;
        if now_ms() < began + SLOW_MS {
            sleep_ms(READ_PAUSE_MS);
        }
    }
    Ok(got)
}

/// Connects with segments of the usual length on a network and a small receive buffer, as a slow device does.
pub fn connect_small(address: SocketAddr, receive_bytes: i32) -> io::Result<TcpStream> {
    unsafe extern "C" {
        fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
        fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    }
    const AF_INET: i32 = 2;
    const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = address else {
        return Err(io::Error::other("no IPv4 address"));
    };
    let mut raw = [0_u8; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&v4.port().to_be_bytes());
    raw[4..8].copy_from_slice(&v4.ip().octets());
    // SAFETY: the pointers are valid for the lengths given, and the descriptor is owned from here on.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &1_460, 4);
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_bytes, 4);
        if connect(descriptor, raw.as_ptr(), 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-desk","host":"one.example","prefix":"/desk/","kind":"safe","timeoutMs":8000,"goalMs":150,"priority":2,"service":"desk","maxAttempts":2}],"services":[{"name":"desk","healthPath":"/healthz","maxConns":110,"proto":"h1","tls":false}],"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleMs":15000}}"#;
