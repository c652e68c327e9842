//! Stand-in of the platform's store: a log with keyed topics.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::clock::{now_ms, record, sleep_ms};
use crate::http::{Conn, Message};

#[derive(Default)]
struct Topics {
    /// Records as the wire has them, without the length.
    records: HashMap<String, Vec<Vec<u8>>>,
}

/// The store. Its calls take about 4 ms.
pub struct Store {
    pub address: SocketAddr,
    topics: Mutex<Topics>,
    changed: Condvar,
    /// Whether it rejects all calls with 503.
    pub is_down: AtomicBool,
}

const ANSWER_MS: u64 = 4;

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self {
            address,
            topics: Mutex::default(),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.read_request() {
                        if store.serve(&mut conn, &request).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Appends a record of a keyed topic; true if the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> bool {
        if self.is_down.load(Ordering::SeqCst) {
            return false;
        }
        self.append(topic, vec![keyed(key, value)]);
        true
    }

    /// Removes a record of a keyed topic, if the store is up.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, "");
    }

    fn append(&self, topic: &str, new: Vec<Vec<u8>>) -> (u64, u64) {
        let mut topics = self.topics.lock().unwrap();
        let records = topics.records.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        records.extend(new);
        let end = records.len() as u64;
        drop(topics);
        self.changed.notify_all();
        (offset, end)
    }

    fn serve(&self, conn: &mut Conn, request: &Message) -> std::io::Result<()> {
        sleep_ms(ANSWER_MS);
        if self.is_down.load(Ordering::SeqCst) {
            return conn.answer("503 Service Unavailable", "Store-Era: 0\r\n", b"");
        }
        let topic = request.query("topic").unwrap_or("").to_owned();
        match request.path() {
            "/chicoryrack/log-append" => {
                let as_of: Option<u64> = request.query("asOf").and_then(|it| it.parse().ok());
                let mut new = Vec::new();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    new.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let end = self.end(&topic);
                if as_of.is_some_and(|it| it != end) {
                    let body = format!("{{\"end\":{end}}}");
                    return conn.answer("412 Precondition Failed", HEADERS, body.as_bytes());
                }
                if topic == "keyed.orders" {
                    record(&format!(
                        "store: an order was logged by an instance, topic ends at {}",
                        end + 1
                    ));
                }
                let (offset, end) = self.append(&topic, new);
                let body = format!("{{\"offset\":{offset},\"end\":{end}}}");
                conn.answer("200 OK", HEADERS, body.as_bytes())
            }
            "/chicoryrack/log-read" => {
                let from: usize = request
                    .query("from")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                let wait: u64 = request
                    .query("waitMs")
                    .and_then(|it| it.parse().ok())
                    .unwrap_or(0);
                let until = now_ms() + wait;
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let end = topics.records.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_sub(now_ms());
                    if end > from || left == 0 {
                        break;
                    }
                    topics = self
                        .changed
                        .wait_timeout(topics, Duration::from_millis(left))
                        .unwrap()
                        .0;
                }
                let empty = Vec::new();
                let records = topics.records.get(&topic).unwrap_or(&empty);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for one in records.iter().skip(from) {
                    body.extend_from_slice(&(one.len() as u32).to_be_bytes());
                    body.extend_from_slice(one);
                }
                drop(topics);
                conn.answer("200 OK", "Store-Era: 0\r\n", &body)
            }
            "/chicoryrack/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.records.get(&topic).unwrap_or(&empty);
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, one) in records.iter().enumerate() {
                    let length = usize::from(one[0]);
                    let key = String::from_utf8_lossy(&one[1..=length]).into_owned();
                    let value = one[1 + length..].to_vec();
                    if value.is_empty() {
                        newest.remove(&key);
                    } else {
                        newest.insert(key, (offset, value));
                    }
                }
                let after = request.query("after").unwrap_or("").to_owned();
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(key, _)| **key > after)
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                drop(topics);
                conn.answer("200 OK", HEADERS, body.as_bytes())
            }
            _ => conn.answer("404 Not Found", HEADERS, b"{}"),
        }
    }

    fn end(&self, topic: &str) -> u64 {
        let topics = self.topics.lock().unwrap();
        topics.records.get(topic).map_or(0, |it| it.len() as u64)
    }
}

const HEADERS: &str = "Store-Era: 0\r\nContent-Type: application/json\r\n";

fn keyed(key: &str, value: &str) -> Vec<u8> {
    let mut all = vec![key.len() as u8];
    all.extend_from_slice(key.as_bytes());
    all.extend_from_slice(value.as_bytes());
    all
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            if place <= three.len() {
                text.push(ALPHABET[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
