//! Stand-ins of requesters.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::clock::{now_ms, random, record, sleep_ms};
use crate::http::{Conn, Message};

/// Addresses that the directory gave last.
#[derive(Default)]
pub struct Addresses(Mutex<Vec<SocketAddr>>);

impl Addresses {
    /// Asks the directories every second.
    pub fn follow(directories: Vec<SocketAddr>, zone: String) -> Arc<Self> {
        let addresses = Arc::new(Self::default());
        let following = Arc::clone(&addresses);
        std::thread::spawn(move || {
            loop {
                for _ in 0..3 {
                    let directory = directories[random() as usize % directories.len()];
                    if let Ok(found) = resolve(directory, &zone) {
                        *following.0.lock().unwrap() = found;
                        break;
                    }
                }
                sleep_ms(1_000);
            }
        });
        addresses
    }

    pub fn choose(&self, not: Option<SocketAddr>) -> Option<SocketAddr> {
        let all = self.0.lock().unwrap();
        let usable: Vec<&SocketAddr> = all.iter().filter(|it| Some(**it) != not).collect();
        if usable.is_empty() {
            return None;
        }
        Some(*usable[random() as usize % usable.len()])
    }
}

fn connect(address: SocketAddr, timeout_ms: u64) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(timeout_ms))?;
    Ok(Conn::new(stream))
}

fn resolve(directory: SocketAddr, zone: &str) -> io::Result<Vec<SocketAddr>> {
    let mut conn = connect(directory, 1_000)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let request = format!(
        "GET /chicoryrack/resolve?name=one.example&region=r&zone={zone} HTTP/1.1\r\nHost: {directory}\r\n\r\n"
    );
    conn.write(request.as_bytes())?;
    let answer = conn.read_answer()?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let list = body
        .split_once('[')
        .and_then(|(_, rest)| rest.split_once(']'))
        .map(|(list, _)| list.to_owned());
    let list = list
        .filter(|_| answer.status() == 200)
        .ok_or_else(|| io::Error::other("no addresses"))?;
    let found: Vec<SocketAddr> = list
        .split(',')
        .filter_map(|it| it.trim_matches('"').parse().ok())
        .collect();
    if found.is_empty() {
        return Err(io::Error::other("no addresses"));
    }
    Ok(found)
}

/// What became of one request for a stream, over all tries.
#[derive(Debug, Default, Clone)]
pub struct Streamed {
    /// Number, version and server of each event.
    pub events: Vec<(u64, String, String)>,
    /// Number of its tries, and of those that brought events.
    pub tries: u32,
    pub is_complete: bool,
    pub last_status: u16,
}

impl Streamed {
    /// The versions that wrote its events.
    pub fn versions(&self) -> Vec<String> {
        let mut all: Vec<String> = self
            .events
            .iter()
            .map(|(_, version, _)| version.clone())
            .collect();
        all.sort();
        all.dedup();
        all
    }
}

/// A request for a stream; one that is broken off is taken up after its last event once.
pub fn stream(addresses: &Addresses, prefix: &str, number: u64, deadline_ms: u64) -> Streamed {
    let mut streamed = Streamed::default();
    let until = now_ms() + deadline_ms;
    let mut first_attempt: Option<String> = None;
    let mut failed: Option<SocketAddr> = None;
    let content = format!("question {number} of run {}", std::process::id());
    for _ in 0..2 {
        let Some(address) = addresses.choose(failed) else {
            return streamed;
        };
        let left = until.saturating_sub(now_ms());
        if left < 300 {
            return streamed;
        }
        streamed.tries += 1;
        let attempt = format!("{:016x}", random());
        let mut headers = format!(
            "Host: one.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 380,80\r\nPrompt-Prefix: 51:92,{:x}:288\r\nDeadline-Ms: {left}\r\nContent-Length: {}\r\n",
            1_000_000 + number,
            content.len()
        );
        let last = streamed.events.last().map_or(0, |it| it.0);
        if let Some(first) = &first_attempt {
            headers.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"));
        }
        record(&format!(
            "sent {attempt} (request {number}) to {address} after event {last}"
        ));
        let request = format!("POST {prefix}{number} HTTP/1.1\r\n{headers}\r\n{content}");
        let before = streamed.events.len();
        let ended = read_stream(address, &request, until, &mut streamed);
        if streamed.events.len() > before && first_attempt.is_none() {
            first_attempt = Some(attempt.clone());
        }
        let versions = streamed.versions().join("+");
        record(&format!(
            "answered {attempt} (request {number}): status {}, {} events, versions {versions}, {}",
            streamed.last_status,
            streamed.events.len() - before,
            match &ended {
                Ok(()) => "complete".to_owned(),
                Err(error) => error.to_string(),
            }
        ));
        match ended {
            Ok(()) => {
                streamed.is_complete = streamed.last_status == 200;
                if streamed.is_complete || (400..500).contains(&streamed.last_status) {
                    return streamed;
                }
                sleep_ms(200);
            }
            Err(_) => failed = Some(address),
        }
    }
    streamed
}

fn read_stream(
    address: SocketAddr,
    request: &str,
    until: u64,
    streamed: &mut Streamed,
) -> io::Result<()> {
    let mut conn = connect(address, 1_000)?;
    conn.write(request.as_bytes())?;
    let left = until.saturating_sub(now_ms()).max(1);
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(left)))?;
    let head: Message = conn.read_head()?;
    streamed.last_status = head.status();
    if head.status() != 200 {
        return Ok(());
    }
    let mut text = String::new();
    while let Some(chunk) = conn.read_chunk()? {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(at) = text.find("\n\n") {
            let event: String = text.drain(..at + 2).collect();
            let mut id = 0;
            let mut data = String::new();
            for line in event.lines() {
                if let Some(value) = line.strip_prefix("id:") {
                    id = value.trim().parse().unwrap_or(0);
                } else if let Some(value) = line.strip_prefix("data:") {
                    data = value.trim().to_owned();
                }
            }
            let (version, server) = data.split_once(' ').unwrap_or((&data, ""));
            streamed
                .events
                .push((id, version.to_owned(), server.to_owned()));
        }
        let left = until.saturating_sub(now_ms()).max(1);
        conn.stream
            .set_read_timeout(Some(Duration::from_millis(left)))?;
    }
    Ok(())
}

/// Sends one request without a body to a plain service, and once more after a refusal; the status of the last answer, or
/// 0 if none came.
pub fn call(addresses: &Addresses, method: &str, target: &str, deadline_ms: u64) -> u16 {
    let until = now_ms() + deadline_ms;
    let mut failed = None;
    let mut status = 0;
    for _ in 0..2 {
        let left = until.saturating_sub(now_ms());
        let Some(address) = addresses.choose(failed).filter(|_| left > 50) else {
            break;
        };
        let attempt = format!("{:016x}", random());
        record(&format!("sent {attempt} to {address}: {method} {target}"));
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: one.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: {left}\r\nContent-Length: 0\r\n\r\n"
        );
        let answered = read_whole(address, &request, left);
        status = answered.as_ref().map_or(0, Message::status);
        let body = answered.as_ref().map_or(String::new(), |it| {
            String::from_utf8_lossy(&it.body[..it.body.len().min(60)]).into_owned()
        });
        record(&format!(
            "answered {attempt}: {method} {target}: {status} {body}"
        ));
        match answered {
            Ok(answer) if status == 503 || status == 429 => {
                let seconds = answer
                    .header("retry-after")
                    .and_then(|it| it.parse::<f64>().ok());
                let left = until.saturating_sub(now_ms());
                let pause = seconds
                    .map_or(100, |it| (it * 1_000.0) as u64)
                    .min(left / 3);
                sleep_ms(pause);
            }
            Ok(_) => return status,
            Err(_) => failed = Some(address),
        }
    }
    status
}

fn read_whole(address: SocketAddr, request: &str, left_ms: u64) -> io::Result<Message> {
    let mut conn = connect(address, 1_000)?;
    conn.stream
        .set_read_timeout(Some(Duration::from_millis(left_ms.max(1))))?;
    conn.write(request.as_bytes())?;
    conn.read_answer()
}
