//! The platform's rate-limited weight store.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, StatusCode};
use serde::Serialize;
use web::{Response, Server, ServerOptions};

#[derive(Serialize)]
struct Fetched<'a> {
    weights: &'a str,
}

/// A running store, which gives out one set of weights at a time.
#[derive(Clone)]
pub struct WeightStoreStandin {
    fetch_ms: u64,
    busy: Rc<tokio::sync::Mutex<()>>,
    fetched: Rc<RefCell<u64>>,
    server: Rc<RefCell<Option<Server>>>,
}

impl WeightStoreStandin {
    /// Starts a store in which each fetch takes `fetch_ms`, one after the other.
    pub async fn start(address: &str, fetch_ms: u64) -> io::Result<Self> {
        let store = Self {
            fetch_ms,
            busy: Rc::default(),
            fetched: Rc::default(),
            server: Rc::default(),
        };
        let listener = web::bind(address).await?;
        let handler = store.clone();
        let server = web::serve(listener, ServerOptions::default(), move |request| {
            let store = handler.clone();
            async move { store.answer(request).await }
        })
        .await?;
        store.server.replace(Some(server));
        Ok(store)
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Sets of weights given out.
    pub fn fetch_count(&self) -> u64 {
        *self.fetched.borrow()
    }

    async fn answer(&self, request: Request) -> Response {
        let Some(weights) = request.path().strip_prefix("/weights/") else {
            return web::empty(StatusCode::NOT_FOUND);
        };
        let _turn = self.busy.lock().await;
        actix_rt::time::sleep(Duration::from_millis(self.fetch_ms)).await;
        *self.fetched.borrow_mut() += 1;
        web::json(StatusCode::OK, &Fetched { weights })
    }
}
