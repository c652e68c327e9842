//! Stand-in for the platform's rate-limited store of model weights.

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

/// A running weight store, which serves one fetch at a time.
#[derive(Clone)]
pub struct WeightStoreStandin {
    fetch_ms: u64,
    fetch_lock: Rc<tokio::sync::Mutex<()>>,
    fetch_count: Rc<RefCell<u64>>,
    server: Rc<RefCell<Option<Server>>>,
}

impl WeightStoreStandin {
    /// Starts a store in which each fetch takes `fetch_ms`; concurrent fetches queue.
    pub async fn start(address: &str, fetch_ms: u64) -> io::Result<Self> {
        let store = Self {
            fetch_ms,
            fetch_lock: Rc::default(),
            fetch_count: Rc::default(),
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

    /// Address and port of the HTTP server; empty before it is started.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Number of completed fetches.
    pub fn fetch_count(&self) -> u64 {
        *self.fetch_count.borrow()
    }

    async fn answer(&self, request: Request) -> Response {
        let Some(weights) = request.path().strip_prefix("/weights/") else {
            return web::empty(StatusCode::NOT_FOUND);
        };
        let _guard = self.fetch_lock.lock().await;
        actix_rt::time::sleep(Duration::from_millis(self.fetch_ms)).await;
        *self.fetch_count.borrow_mut() += 1;
        web::json(StatusCode::OK, &Fetched { weights })
    }
}
