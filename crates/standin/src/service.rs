//! Stand-in for a plain service, which counts the effects of each call.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use web::{Response, Server, ServerOptions};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Injected faults of a service.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Additional duration of each call, in ms.
    pub slow_ms: u64,
    /// Calls take effect, but are not answered within an hour.
    pub lose_answers: bool,
}

/// Configuration of a service stand-in.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the instance.
    pub name: String,
    /// Duration of a call, in ms.
    pub call_ms: u64,
}

#[derive(Debug, Default)]
struct Store {
    faults: ServiceFaults,
    effects: BTreeMap<String, u64>,
}

#[derive(Serialize)]
struct Receipt<'a> {
    done: bool,
    by: &'a str,
    path: &'a str,
    bytes: usize,
}

/// A running service stand-in; clones refer to the same service.
#[derive(Clone)]
pub struct ServiceStandin {
    options: ServiceOptions,
    store: Rc<RefCell<Store>>,
    server: Rc<RefCell<Option<Server>>>,
}

impl ServiceStandin {
    /// Starts a service that listens on the given address.
    pub async fn start(address: &str, options: ServiceOptions) -> io::Result<Self> {
        let service = Self {
            options,
            store: Rc::default(),
            server: Rc::default(),
        };
        let listener = web::bind(address).await?;
        let handler = service.clone();
        let server = web::serve(listener, ServerOptions::default(), move |request| {
            let service = handler.clone();
            async move { service.answer(request).await }
        })
        .await?;
        service.server.replace(Some(server));
        Ok(service)
    }

    /// Address and port of the HTTP server; empty before it is started.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.store.borrow_mut().faults = faults;
    }

    /// Number of effects of each call, keyed by path and body.
    pub fn effects(&self) -> BTreeMap<String, u64> {
        self.store.borrow().effects.clone()
    }

    /// Closes all connections and stops listening, as a crash would.
    pub fn kill(&self) {
        if let Some(server) = self.server.borrow().as_ref() {
            server.kill();
        }
    }

    async fn answer(&self, mut request: Request) -> Response {
        let method = request.method().clone();
        let path = request.path().to_owned();
        if (&method, path.as_str()) == (&Method::GET, "/effects") {
            return web::json(StatusCode::OK, &self.effects());
        }
        let body = match web::read_body(request.take_payload(), MAX_BODY_BYTES, 5_000).await {
            Ok(body) => body,
            Err(error) => return web::text(error.status(), "text/plain", error.to_string()),
        };
        if (&method, path.as_str()) == (&Method::PUT, "/faults") {
            return match web::parse_json(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    web::empty(StatusCode::NO_CONTENT)
                }
                Err(error) => web::text(error.status(), "text/plain", error.to_string()),
            };
        }
        let faults = self.store.borrow().faults;
        let call = format!("{path} {}", String::from_utf8_lossy(&body));
        *self.store.borrow_mut().effects.entry(call).or_default() += 1;
        let wait_ms = if faults.lose_answers {
            3_600_000
        } else {
            self.options.call_ms + faults.slow_ms
        };
        actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
        let receipt = Receipt {
            done: true,
            by: &self.options.name,
            path: &path,
            bytes: body.len(),
        };
        web::json(StatusCode::OK, &receipt)
    }
}
