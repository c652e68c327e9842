//! Stand-in for the platform's append-only log.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use web::{Response, Server, ServerOptions};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum number of records in one page.
const MAX_PAGE_RECORDS: usize = 1_024;

/// Injected faults of the log.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Answers every request but `PUT /faults` with status 503.
    pub down: bool,
    /// Delay before each answer, in ms.
    pub slow_ms: u64,
    /// Appends take effect, but are answered with status 504.
    pub lose_answers: bool,
    /// Number of newest records to keep; 0 keeps all.
    #[serde(rename = "keep")]
    pub keep_records: usize,
}

#[derive(Debug, Default)]
struct Store {
    first: u64,
    records: Vec<String>,
    faults: LogFaults,
    appends: u64,
}

impl Store {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, records: Vec<String>) -> u64 {
        let first = self.next();
        self.records.extend(records);
        self.appends += 1;
        self.drop_expired();
        first
    }

    fn drop_expired(&mut self) {
        let keep = self.faults.keep_records;
        if keep > 0 && self.records.len() > keep {
            let expired = self.records.len() - keep;
            self.records.drain(..expired);
            self.first += expired as u64;
        }
    }

    fn page(&self, from: u64) -> Page {
        let begin = from.max(self.first);
        let skipped = (begin - self.first) as usize;
        let records: Vec<PageRecord> = self
            .records
            .iter()
            .enumerate()
            .skip(skipped)
            .take(MAX_PAGE_RECORDS)
            .map(|(index, data)| PageRecord {
                offset: self.first + index as u64,
                data: data.clone(),
            })
            .collect();
        Page {
            first: self.first,
            next: begin + records.len() as u64,
            records,
        }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Append {
    records: Vec<String>,
}

#[derive(Serialize)]
struct Appended {
    first: u64,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct Page {
    first: u64,
    next: u64,
    records: Vec<PageRecord>,
}

#[derive(Serialize)]
struct PageRecord {
    offset: u64,
    data: String,
}

/// A running log stand-in; clones refer to the same log.
#[derive(Clone)]
pub struct LogStandin {
    store: Rc<RefCell<Store>>,
    appended: Rc<Notify>,
    server: Rc<RefCell<Option<Server>>>,
}

impl LogStandin {
    /// Starts an empty log; the first record gets offset 1.
    pub async fn start(address: &str) -> io::Result<Self> {
        let log = Self {
            store: Rc::new(RefCell::new(Store {
                first: 1,
                ..Store::default()
            })),
            appended: Rc::default(),
            server: Rc::default(),
        };
        let listener = web::bind(address).await?;
        let handler = log.clone();
        let server = web::serve(listener, ServerOptions::default(), move |request| {
            let log = handler.clone();
            async move { log.answer(request).await }
        })
        .await?;
        log.server.replace(Some(server));
        Ok(log)
    }

    /// Address and port of the HTTP server; empty before it is started.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: LogFaults) {
        let mut store = self.store.borrow_mut();
        store.faults = faults;
        store.drop_expired();
    }

    /// Number of appends that took effect, each with one or more records.
    pub fn appends(&self) -> u64 {
        self.store.borrow().appends
    }

    async fn answer(&self, mut request: Request) -> Response {
        let method = request.method().clone();
        let path = request.path().to_owned();
        if (&method, path.as_str()) == (&Method::PUT, "/faults") {
            return self.put_faults(request).await;
        }
        let faults = self.store.borrow().faults;
        if faults.slow_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return web::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&method, path.as_str()) {
            (&Method::POST, "/append") => {
                let read = web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await;
                match read.and_then(|body| web::parse_json::<Append>(&body)) {
                    Ok(append) => self.append(append, faults),
                    Err(error) => web::text(error.status(), "text/plain", error.to_string()),
                }
            }
            (&Method::GET, "/records") => match web::parse_query::<ReadQuery>(&request) {
                Ok(query) => self.read(&query).await,
                Err(error) => web::text(error.status(), "text/plain", error.to_string()),
            },
            _ => web::empty(StatusCode::NOT_FOUND),
        }
    }

    async fn put_faults(&self, mut request: Request) -> Response {
        let read = web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await;
        match read.and_then(|body| web::parse_json(&body)) {
            Ok(faults) => {
                self.set_faults(faults);
                web::empty(StatusCode::NO_CONTENT)
            }
            Err(error) => web::text(error.status(), "text/plain", error.to_string()),
        }
    }

    fn append(&self, append: Append, faults: LogFaults) -> Response {
        let first = self.store.borrow_mut().append(append.records);
        self.appended.notify_waiters();
        if faults.lose_answers {
            return web::empty(StatusCode::GATEWAY_TIMEOUT);
        }
        web::json(StatusCode::OK, &Appended { first })
    }

    async fn read(&self, query: &ReadQuery) -> Response {
        if query.wait_ms > 0 && query.from >= self.store.borrow().next() {
            let wait = Duration::from_millis(query.wait_ms.min(30_000));
            let _ = actix_rt::time::timeout(wait, self.appended.notified()).await;
            if self.store.borrow().faults.down {
                return web::empty(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        web::json(StatusCode::OK, &self.store.borrow().page(query.from))
    }
}
