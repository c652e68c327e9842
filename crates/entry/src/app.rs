//! State that all parts of an instance share on its single thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use conf::{BundleIndex, Settings};
use feed::{HttpLog, LogReader, Outbox, Outcome};
use lease::Identity;
use once::{EpochCounter, Home, Witness};
use peer::PeerTable;
use plan::{Fleet, Forecast, RetryBudget, RouteSettings, Router, WorkspaceLimiter};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tick::{Clock, Timers};
use tokio::sync::{Notify, oneshot, watch};
use view::{PoisonTracker, UpstreamKey};
use wire::{Body, Condition};

use crate::control::Control;
use crate::metrics::Metrics;
use crate::upstreams::Upstreams;

/// Timeout of a connection attempt to an upstream.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Offset and outcome of a record that was read back from the log.
pub(crate) type Confirmation = (u64, Outcome);

/// Shared state of an instance.
pub(crate) struct App {
    pub(crate) settings: Settings,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) timers: Timers,
    pub(crate) epochs: EpochCounter,
    pub(crate) caller_address: String,
    pub(crate) log: HttpLog,
    pub(crate) client: awc::Client,
    pub(crate) peer_client: peer::Client,
    pub(crate) log_reader: RefCell<LogReader>,
    pub(crate) outbox: RefCell<Outbox>,
    pub(crate) outbox_ready: Notify,
    /// Writers that wait for their records to be read back, by sequence number.
    pub(crate) confirmations: RefCell<HashMap<u64, oneshot::Sender<Confirmation>>>,
    pub(crate) bundle: RefCell<Option<Rc<BundleIndex>>>,
    pub(crate) peer_table: RefCell<PeerTable>,
    pub(crate) fleet: RefCell<Fleet>,
    pub(crate) upstreams: RefCell<Upstreams>,
    /// `model@version` that serves new requests, by model.
    pub(crate) served_versions: RefCell<HashMap<String, String>>,
    pub(crate) router: RefCell<Router>,
    pub(crate) forecast: RefCell<Forecast>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) workspace_limiter: RefCell<WorkspaceLimiter>,
    pub(crate) poison_tracker: RefCell<PoisonTracker>,
    /// Engines of which it is asked whether they have ended, and since when.
    pub(crate) inquiries: RefCell<HashMap<UpstreamKey, u64>>,
    pub(crate) home: RefCell<Home>,
    pub(crate) witness: RefCell<Witness>,
    pub(crate) call_ended: watch::Sender<u64>,
    pub(crate) condition: Cell<Condition>,
    /// Whether the grace period of a leaving instance is over, so that it takes no new requests.
    pub(crate) closed: Cell<bool>,
    pub(crate) log_up: Cell<bool>,
    /// Source of the state with which the instance became ready: `log` or the address of a peer.
    pub(crate) learned_from: RefCell<String>,
    pub(crate) in_flight: Cell<usize>,
    /// Controller of leases and orders, which is notified of applied records.
    pub(crate) control: RefCell<Weak<Control>>,
    pub(crate) metrics: Metrics,
    pub(crate) rng: RefCell<Pcg64>,
}

impl App {
    pub(crate) fn new(settings: Settings, caller_address: String, clock: Clock) -> Rc<Self> {
        let mut rng = Pcg64::from_os_rng();
        let incarnation = rand::Rng::random(&mut rng);
        let identity = Identity {
            instance: settings.instance.clone(),
            incarnation,
        };
        let epochs = EpochCounter::new(clock.now_ms());
        let membership = peer::MembershipSettings {
            suspect_ms: settings.membership.suspect_ms,
            fan_out: settings.membership.fan_out as usize,
        };
        let connector = awc::Connector::new().timeout(Duration::from_millis(CONNECT_TIMEOUT_MS));
        let client = awc::Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Rc::new(Self {
            log: HttpLog::new(&settings.platform.log),
            outbox: RefCell::new(Outbox::new(&settings.instance, incarnation)),
            peer_table: RefCell::new(PeerTable::new(membership)),
            home: RefCell::new(Home::new(&settings.instance, incarnation, epochs)),
            witness: RefCell::new(Witness::new(&settings.instance, incarnation, epochs)),
            timers: Timers::start(clock),
            router: RefCell::new(Router::new(RouteSettings::default())),
            metrics: Metrics::new(&settings.instance, &settings.zone),
            call_ended: watch::Sender::new(0),
            settings,
            identity,
            clock,
            epochs,
            caller_address,
            client,
            rng: RefCell::new(rng),
            peer_client: peer::Client::default(),
            log_reader: RefCell::default(),
            outbox_ready: Notify::new(),
            confirmations: RefCell::default(),
            bundle: RefCell::default(),
            fleet: RefCell::default(),
            upstreams: RefCell::default(),
            served_versions: RefCell::default(),
            forecast: RefCell::default(),
            retry_budget: RefCell::default(),
            workspace_limiter: RefCell::default(),
            poison_tracker: RefCell::default(),
            inquiries: RefCell::default(),
            condition: Cell::default(),
            closed: Cell::new(false),
            log_up: Cell::new(false),
            learned_from: RefCell::default(),
            in_flight: Cell::new(0),
            control: RefCell::default(),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Queues a record for the log and returns its sequence number.
    pub(crate) fn enqueue_record(&self, actor: &str, body: Body, expires_ms: Option<u64>) -> u64 {
        let sequence = self
            .outbox
            .borrow_mut()
            .push(actor, tick::wall_ms(), body, expires_ms);
        self.outbox_ready.notify_one();
        sequence
    }

    /// Queues a record and waits until it is read back from the log.
    ///
    /// Returns `None` on a timeout, after which the record may still take effect.
    pub(crate) async fn append_and_wait(
        &self,
        actor: &str,
        body: Body,
        timeout_ms: u64,
    ) -> Option<Confirmation> {
        let (sender, receiver) = oneshot::channel();
        let sequence = self.enqueue_record(actor, body, Some(self.now_ms() + timeout_ms));
        self.confirmations.borrow_mut().insert(sequence, sender);
        let limit = Duration::from_millis(timeout_ms);
        let confirmation = actix_rt::time::timeout(limit, receiver).await;
        self.confirmations.borrow_mut().remove(&sequence);
        confirmation.ok().and_then(Result::ok)
    }

    pub(crate) fn bundle(&self) -> Option<Rc<BundleIndex>> {
        self.bundle.borrow().clone()
    }

    /// Creates a unique random request id.
    pub(crate) fn request_id(&self) -> String {
        let number: u128 = rand::Rng::random(&mut *self.rng.borrow_mut());
        format!("{number:032x}")
    }
}
