//! Starts, runs and stops an instance.

use std::rc::Rc;

use actix_rt::task::JoinHandle;
use conf::Settings;
use tick::Clock;
use web::{Server, ServerOptions};
use wire::Condition;

use crate::app::App;
use crate::control::Control;
use crate::{Error, Result, heartbeats, instance_list, log_follower, routes, upstreams};

/// Interval at which a stopping instance checks for remaining requests and records.
const DRAIN_POLL_MS: u64 = 20;

/// Time to append the last records, such as released leases, to the log.
const FLUSH_TIMEOUT_MS: u64 = 1_000;

/// A running entry instance.
pub struct Instance {
    app: Rc<App>,
    control: Rc<Control>,
    callers: Server,
    peers: peer::Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Instance {
    /// Starts an instance on the current runtime thread.
    pub async fn start(settings: Settings) -> Result<Self> {
        let listen = |address: &str| {
            let address = address.to_owned();
            async move {
                let bound = web::bind(&address).await;
                bound.map_err(|source| Error::Listen { address, source })
            }
        };
        let callers = listen(&settings.caller_address).await?;
        let peers = listen(&settings.peer_address).await?;
        let failed = |source| Error::Listen {
            address: settings.caller_address.clone(),
            source,
        };
        let caller_address = callers.local_addr().map_err(failed)?.to_string();
        let options = ServerOptions {
            max_connections: settings.limits.connections as usize,
            ..ServerOptions::default()
        };
        let app = App::new(settings.clone(), caller_address, Clock::default());
        let handler = app.clone();
        let callers = web::serve(callers, options, move |request| {
            routes::handle_request(handler.clone(), request)
        });
        let callers = callers.await.map_err(failed)?;
        let peers =
            peer::serve(peers, Rc::new(heartbeats::PeerHandler(app.clone()))).map_err(failed)?;
        let control = Control::start(&app)
            .await
            .map_err(|source| Error::Guard { source })?;
        let tasks = vec![
            actix_rt::spawn(log_follower::follow(app.clone())),
            actix_rt::spawn(log_follower::append(app.clone())),
            actix_rt::spawn(heartbeats::send(app.clone())),
            actix_rt::spawn(instance_list::poll_list(app.clone())),
            actix_rt::spawn(upstreams::poll_reports(app.clone())),
        ];
        Ok(Self {
            app,
            control,
            callers,
            peers,
            tasks,
        })
    }

    /// Address for callers and operators.
    pub fn caller_address(&self) -> String {
        self.callers.address().to_string()
    }

    /// Address for other instances.
    pub fn peer_address(&self) -> String {
        self.peers.address().to_string()
    }

    /// Whether the instance serves requests.
    pub fn is_ready(&self) -> bool {
        self.app.condition.get() == Condition::Ready
    }

    /// Shuts down gracefully: the instance is no longer named to callers, keeps serving for the
    /// grace period, then takes no new requests and waits for those in progress.
    pub async fn stop(&self) {
        log::info!(step = "stop"; "leaving");
        self.app.condition.set(Condition::Leaving);
        self.control.release_leases();
        heartbeats::send_to_all(&self.app).await;
        let timers = self.app.timers.clone();
        timers.sleep(self.app.settings.limits.stop_grace_ms).await;
        self.callers.stop_accepting();
        self.app.closed.set(true);
        while self.app.in_flight.get() > 0 {
            timers.sleep(DRAIN_POLL_MS).await;
        }
        let flush_deadline_ms = self.app.now_ms() + FLUSH_TIMEOUT_MS;
        while !self.app.outbox.borrow().is_empty() && self.app.now_ms() < flush_deadline_ms {
            timers.sleep(DRAIN_POLL_MS).await;
        }
        log::info!(step = "stop"; "stopped");
    }

    /// Stops at once, as a crash would: closes all connections and aborts all tasks.
    pub fn kill(&self) {
        self.callers.kill();
        self.peers.kill();
        for task in &self.tasks {
            task.abort();
        }
    }
}
