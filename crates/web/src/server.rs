//! Accepts connections and serves them on the current runtime thread.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;

use crate::Response;

/// Limits on connections.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Timeout for receiving the head of a request.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            head_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// Pause after a failed accept.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    open: Rc<Cell<usize>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Server {
    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting connections; open connections continue.
    pub fn stop_accepting(&self) {
        self.accepting.abort();
    }

    /// Drops all connections immediately, as a crash would.
    pub fn kill(&self) {
        self.accepting.abort();
        for task in self.tasks.borrow_mut().drain(..) {
            task.abort();
        }
    }
}

/// Listens on an IP address and port; port 0 selects a free port.
pub async fn bind(address: &str) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves requests on a listener with a handler until the server is stopped or killed.
pub async fn serve<H, F>(
    listener: TcpListener,
    options: ServerOptions,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response> + 'static,
{
    let address = listener.local_addr()?;
    let handler = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, actix_http::Error>(response.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(Duration::from_millis(
            options.idle_timeout_ms,
        )))
        .client_request_timeout(Duration::from_millis(options.head_timeout_ms))
        .h1(handler)
        .tcp();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| io::Error::other("HTTP service cannot be built"))?;
    let open = Rc::new(Cell::new(0));
    let tasks = Rc::new(RefCell::new(Vec::new()));
    let accepting = actix_rt::spawn(accept(
        listener,
        options,
        Rc::new(service),
        open.clone(),
        tasks.clone(),
    ));
    Ok(Server {
        address,
        accepting,
        open,
        tasks,
    })
}

async fn accept<S>(
    listener: TcpListener,
    options: ServerOptions,
    service: Rc<S>,
    open: Rc<Cell<usize>>,
    tasks: Rc<RefCell<Vec<JoinHandle<()>>>>,
) where
    S: Service<TcpStream> + 'static,
    S::Error: std::fmt::Debug,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Usually the process is out of file descriptors. The pause keeps the loop from
                // spinning until some are free.
                log::warn!("failed to accept a connection: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        if open.get() >= options.max_connections {
            continue;
        }
        let _ = stream.set_nodelay(true);
        open.set(open.get() + 1);
        let guard = OpenGuard(open.clone());
        let connection = service.call(stream);
        let task = actix_rt::spawn(async move {
            let _guard = guard;
            if let Err(error) = connection.await {
                log::debug!("connection failed: {error:?}");
            }
        });
        let mut tasks = tasks.borrow_mut();
        // Removes finished tasks only when they are about half of the list, so that the cost for
        // each connection stays constant.
        if tasks.len() >= 2 * options.max_connections.min(open.get() + 64) {
            tasks.retain(|task| !task.is_finished());
        }
        tasks.push(task);
    }
}

/// Decrements the count of open connections when dropped, also when its task is aborted.
struct OpenGuard(Rc<Cell<usize>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
