//! Runs one case of the review: the instances as processes, and stand-ins of the store, servers and requesters.
//!
//! `rig CASE PROGRAM RECORD`; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` it does the same without the disruption.

mod caller;
mod clock;
mod endless;
mod engine;
mod fleet;
mod hot_read;
mod http;
mod memory;
mod slow_channel;
mod slow_reader;
mod store;
mod versions;

use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Result of a run.
pub enum Outcome {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Status of an answer to a GET on a new connection.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut conn = http::Conn::new(stream);
    conn.write(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())
        .ok()?;
    conn.read_head().ok().map(|it| it.status())
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, program, record] = &words[..] else {
        eprintln!("rig CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    clock::begin(record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = || match case.as_str() {
        "versions" => versions::run(program.into(), has_trouble),
        "term-slow-reader" => slow_reader::run(program.into(), has_trouble),
        "hot-read" => hot_read::run(program.into(), has_trouble),
        "memory" => memory::run(program.into(), has_trouble),
        "slow-channel" => slow_channel::run(program.into(), has_trouble),
        "endless" => endless::run(program.into(), has_trouble),
        other => Outcome::CouldNotRun(format!("no case {other}")),
    };
    let outcome = std::panic::catch_unwind(run);
    let outcome =
        outcome.unwrap_or_else(|_| Outcome::CouldNotRun("a stand-in panicked".to_owned()));
    let (line, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::CouldNotRun(why) => (format!("could not run: {why}"), 2),
    };
    clock::record(&line);
    println!("{line}");
    ExitCode::from(code)
}
