//! Sends orders to engines from a dedicated thread, the target of the lease guard's signal.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Uri;
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use lease::{ArmedGuard, ConnectionGuard, OutgoingOrder};
use serde::Serialize;
use tick::Clock;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use wire::OrderKind;

/// HTTP status of the answer to an order, or why there is none.
pub(crate) type SendResult = Result<u16, String>;

struct SendTask {
    order: OutgoingOrder,
    address: String,
    reply: oneshot::Sender<SendResult>,
}

#[derive(Serialize)]
struct Body<'a> {
    order: u64,
    kind: &'static str,
    argument: &'a str,
}

/// Handle of the thread that sends orders.
#[derive(Clone)]
pub(crate) struct OrderSender {
    tasks: mpsc::UnboundedSender<SendTask>,
}

impl OrderSender {
    /// Starts the thread; fails if the guard cannot be set up.
    pub(crate) async fn start(clock: Clock) -> std::io::Result<Self> {
        let (tasks, receiver) = mpsc::unbounded_channel();
        let (ready, started) = oneshot::channel();
        actix_rt::Arbiter::new().spawn_fn(move || {
            actix_rt::spawn(serve(clock, receiver, ready));
        });
        let started = started.await;
        started.unwrap_or_else(|_| Err(std::io::Error::other("the order thread ended")))?;
        Ok(Self { tasks })
    }

    /// Sends an order and returns the status of the answer.
    pub(crate) async fn send(&self, order: OutgoingOrder, address: String) -> SendResult {
        let (reply, answer) = oneshot::channel();
        let task = SendTask {
            order,
            address,
            reply,
        };
        if self.tasks.send(task).is_err() {
            return Err("the order thread has ended".to_owned());
        }
        answer
            .await
            .unwrap_or_else(|_| Err("the order thread has ended".to_owned()))
    }
}

async fn serve(
    clock: Clock,
    mut tasks: mpsc::UnboundedReceiver<SendTask>,
    ready: oneshot::Sender<std::io::Result<()>>,
) {
    let guard = match ConnectionGuard::new(clock) {
        Ok(guard) => Rc::new(guard),
        Err(error) => {
            let _ = ready.send(Err(error));
            return;
        }
    };
    let _ = ready.send(Ok(()));
    // One at a time: the guard can watch only one connection.
    while let Some(task) = tasks.recv().await {
        let sent = send(&guard, clock, &task.order, &task.address).await;
        let _ = task.reply.send(sent);
    }
}

async fn send(
    guard: &Rc<ConnectionGuard>,
    clock: Clock,
    order: &OutgoingOrder,
    address: &str,
) -> SendResult {
    let left_ms = order.expires_ms.saturating_sub(clock.now_ms());
    let limit = Duration::from_millis(left_ms);
    let connector = GuardedConnector {
        guard: guard.clone(),
        expires_ms: order.expires_ms,
        armed: Rc::default(),
    };
    let armed = connector.armed.clone();
    let client = awc::Client::builder()
        .connector(awc::Connector::new().connector(connector).timeout(limit))
        .timeout(limit)
        .disable_redirects()
        .finish();
    let body = Body {
        order: order.fencing_token,
        kind: match order.kind {
            OrderKind::Role => "role",
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        },
        argument: &order.argument,
    };
    // The connection is closed after the exchange, so that no pooled connection outlives its lease.
    let request = client
        .post(format!("http://{address}/orders"))
        .force_close();
    let sent = request.send_json(&body).await;
    let status = sent.map(|response| response.status().as_u16());
    armed.borrow_mut().take();
    status.map_err(|error| error.to_string())
}

/// Connector that arms the guard for each connection before a byte is written.
#[derive(Clone)]
struct GuardedConnector {
    guard: Rc<ConnectionGuard>,
    expires_ms: u64,
    armed: Rc<RefCell<Option<ArmedGuard>>>,
}

impl Service<ConnectInfo<Uri>> for GuardedConnector {
    type Response = Connection<Uri, TcpStream>;
    type Error = ConnectError;
    type Future =
        futures_util::future::LocalBoxFuture<'static, Result<Self::Response, ConnectError>>;

    actix_service::always_ready!();

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connect = actix_tls::connect::ConnectorService::default().call(info);
        let this = self.clone();
        Box::pin(async move {
            let connection = connect.await?;
            this.arm_guard(connection.io_ref())
                .map_err(ConnectError::Io)?;
            Ok(connection)
        })
    }
}

impl GuardedConnector {
    fn arm_guard(&self, stream: &TcpStream) -> std::io::Result<()> {
        let armed = self.guard.arm(stream, self.expires_ms)?;
        self.armed.replace(Some(armed));
        Ok(())
    }
}
