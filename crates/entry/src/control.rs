//! Controls the groups of engines: leases, orders and roles.

mod desired_states;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use lease::{
    Authority, DesiredState, Elector, LeaseAction, LeaseTimes, OrderAction, OrderScheduler,
};
use plan::{RolePlanner, RoleSettings};
use wire::{Body, LeaseClaimed, LeaseRef, OrderPlaced, OrderSettled};

use crate::app::App;
use crate::order_sender::OrderSender;

/// Interval at which leases and orders are checked.
const TICK_MS: u64 = 50;

/// Subject of the rank that decides which instance writes a snapshot.
const SNAPSHOT_SUBJECT: &str = "snapshot";

/// Time after which a snapshot that was not read back from the log is written again.
const SNAPSHOT_RETRY_MS: u64 = 10_000;

struct Group {
    elector: Elector,
    scheduler: OrderScheduler,
    planner: RolePlanner,
}

/// Controller of all groups in an instance.
pub(crate) struct Control {
    app: Rc<App>,
    order_sender: OrderSender,
    groups: RefCell<BTreeMap<String, Group>>,
    /// Offset of the roll of the bundle in force, and when this instance learned of it.
    last_roll: RefCell<(u64, u64)>,
    /// Offset of the most recent snapshot when this instance wrote one, and when to retry.
    snapshot_sent: Cell<(u64, u64)>,
}

impl Control {
    pub(crate) async fn start(app: &Rc<App>) -> std::io::Result<Rc<Self>> {
        let control = Rc::new(Self {
            app: app.clone(),
            order_sender: OrderSender::start(app.clock).await?,
            groups: RefCell::default(),
            last_roll: RefCell::default(),
            snapshot_sent: Cell::default(),
        });
        app.control.replace(Rc::downgrade(&control));
        actix_rt::spawn(control.clone().run());
        Ok(control)
    }

    async fn run(self: Rc<Self>) {
        let mut ticks = self.app.timers.every(TICK_MS);
        while ticks.next().await.is_some() {
            self.add_groups();
            self.write_snapshot();
            let names: Vec<String> = self.groups.borrow().keys().cloned().collect();
            for name in names {
                self.update_lease(&name);
                self.run_orders(&name);
            }
        }
    }

    fn add_groups(&self) {
        let now_ms = self.app.now_ms();
        let lease = &self.app.settings.lease;
        let times = LeaseTimes {
            ttl_ms: lease.ttl_ms,
            margin_ms: lease.margin_ms,
        };
        let weight = self
            .app
            .bundle()
            .map(|bundle| bundle.bundle().policy.role_change_weight);
        let mut groups = self.groups.borrow_mut();
        for name in self.app.upstreams.borrow().groups() {
            groups.entry(name.clone()).or_insert_with(|| {
                let mut elector = Elector::new(self.app.identity.clone(), &name, times, now_ms);
                elector.observe(now_ms, self.app.log_reader.borrow().state().lease(&name));
                let settings = RoleSettings {
                    change_weight: weight.unwrap_or(RoleSettings::default().change_weight),
                    ..RoleSettings::default()
                };
                Group {
                    elector,
                    scheduler: OrderScheduler::default(),
                    planner: RolePlanner::new(settings),
                }
            });
        }
    }

    /// Writes a snapshot to the log before the records that the state results from expire.
    ///
    /// Otherwise a new instance could not derive the state once the log has dropped the roll of the
    /// bundle in force. The instance with rank 0 writes the snapshot. If two instances do, it is
    /// harmless, as a snapshot changes nothing for readers that have its records.
    fn write_snapshot(&self) {
        let now_ms = self.app.now_ms();
        let (since_snapshot, last) = {
            let log_reader = self.app.log_reader.borrow();
            (
                log_reader.state().records_since_snapshot(),
                log_reader.state().snapshot_offset(),
            )
        };
        let ready = self.app.condition.get() == wire::Condition::Ready && self.app.log_up.get();
        if since_snapshot < self.app.settings.platform.snapshot_records || !ready {
            return;
        }
        // Wait until the snapshot written last is read back. The next one may follow at once, as a
        // burst of records could otherwise exceed the log's retention.
        let (previous, retry_at_ms) = self.snapshot_sent.get();
        if previous == last && now_ms < retry_at_ms {
            return;
        }
        let me = &self.app.identity.instance;
        if self
            .app
            .peer_table
            .borrow()
            .rank(now_ms, me, SNAPSHOT_SUBJECT)
            > 0
        {
            return;
        }
        let snapshot = self.app.log_reader.borrow().state().snapshot();
        let expires_ms = now_ms + SNAPSHOT_RETRY_MS;
        self.snapshot_sent.set((last, expires_ms));
        self.app
            .enqueue_record(me, Body::Snapshot(Box::new(snapshot)), Some(expires_ms));
    }

    /// Updates leases and the last roll from the state of the log. Must be called as soon as
    /// records were read.
    pub(crate) fn observe(&self) {
        let now_ms = self.app.now_ms();
        let log_reader = self.app.log_reader.borrow();
        for (name, group) in self.groups.borrow_mut().iter_mut() {
            group
                .elector
                .observe(now_ms, log_reader.state().lease(name));
        }
        let offset = log_reader.state().in_force_offset();
        let mut last_roll = self.last_roll.borrow_mut();
        if last_roll.0 != offset {
            *last_roll = (offset, now_ms);
        }
    }

    fn update_lease(&self, name: &str) {
        // While the log is down a claim could only be queued, and would be outdated when appended.
        if !self.app.log_up.get() || self.app.condition.get() != wire::Condition::Ready {
            return;
        }
        let now_ms = self.app.now_ms();
        let me = &self.app.identity.instance;
        let rank = self.app.peer_table.borrow().rank(now_ms, me, name);
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(name) else {
            return;
        };
        let ttl_ms = self.app.settings.lease.ttl_ms;
        let body = match group.elector.poll(now_ms, rank) {
            LeaseAction::Wait => return,
            LeaseAction::Claim { supersedes } => Body::LeaseClaimed(LeaseClaimed {
                group: name.to_owned(),
                supersedes,
                ttl_ms,
            }),
            LeaseAction::Renew { fence } => Body::LeaseRenewed(LeaseRef {
                group: name.to_owned(),
                fencing_token: fence,
            }),
        };
        let sequence = self.app.enqueue_record(me, body, Some(now_ms + ttl_ms));
        group.elector.record_sent(now_ms, sequence);
    }

    fn run_orders(self: &Rc<Self>, name: &str) {
        let now_ms = self.app.now_ms();
        let authority = {
            let groups = self.groups.borrow();
            groups
                .get(name)
                .and_then(|group| group.elector.authority(now_ms))
        };
        let held = i64::from(authority.is_some());
        self.app
            .metrics
            .leases_held
            .with_label_values(&[name])
            .set(held);
        let Some(authority) = authority else {
            return;
        };
        let desired_states = self.desired_states(name, now_ms);
        for next in self.next_actions(name, now_ms, authority, &desired_states) {
            match next {
                OrderAction::Place(order) => self.place_order(order),
                OrderAction::Settle(settled) => self.settle_order(settled),
                OrderAction::Send(order) => {
                    actix_rt::spawn(self.clone().send_order(order));
                }
            }
        }
    }

    fn next_actions(
        &self,
        name: &str,
        now_ms: u64,
        authority: Authority,
        desired_states: &[DesiredState],
    ) -> Vec<OrderAction> {
        let log_reader = self.app.log_reader.borrow();
        let upstreams = self.app.upstreams.borrow();
        let report = |engine: &str| upstreams.engines.get(engine)?.report.clone();
        let mut groups = self.groups.borrow_mut();
        let Some(group) = groups.get_mut(name) else {
            return Vec::new();
        };
        let open = log_reader.state().open_orders(name);
        group
            .scheduler
            .next_actions(now_ms, authority, name, desired_states, open, report)
    }

    fn place_order(&self, order: OrderPlaced) {
        let expires_ms = self.app.now_ms() + self.app.settings.lease.ttl_ms;
        let me = &self.app.identity.instance;
        self.app
            .enqueue_record(me, Body::OrderPlaced(order), Some(expires_ms));
    }

    fn settle_order(&self, settled: OrderSettled) {
        let expires_ms = self.app.now_ms() + self.app.settings.lease.ttl_ms;
        let me = &self.app.identity.instance;
        self.app
            .enqueue_record(me, Body::OrderSettled(settled), Some(expires_ms));
    }

    async fn send_order(self: Rc<Self>, order: lease::OutgoingOrder) {
        let address = {
            let upstreams = self.app.upstreams.borrow();
            upstreams
                .engines
                .get(&order.engine)
                .map(|engine| engine.address.clone())
        };
        let Some(address) = address else {
            return;
        };
        let (engine, number) = (order.engine.clone(), order.fencing_token);
        let kind = format!("{:?}", order.kind).to_lowercase();
        self.app.metrics.orders.with_label_values(&[&kind]).inc();
        match self.order_sender.send(order, address).await {
            Ok(status) => {
                log::info!(step = "order", peer = engine.as_str(), order = number, status; "{kind}");
            }
            Err(detail) => {
                log::warn!(step = "order", peer = engine.as_str(), order = number; "{detail}");
            }
        }
    }

    /// Releases all leases, so that other instances need not wait for them to expire.
    pub(crate) fn release_leases(&self) {
        let now_ms = self.app.now_ms();
        let me = &self.app.identity.instance;
        for (name, group) in self.groups.borrow_mut().iter_mut() {
            if let Some(fence) = group.elector.resign(now_ms) {
                let released = LeaseRef {
                    group: name.clone(),
                    fencing_token: fence,
                };
                self.app
                    .enqueue_record(me, Body::LeaseReleased(released), None);
            }
        }
    }
}
