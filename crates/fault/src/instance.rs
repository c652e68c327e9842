//! A simulated entry instance: production decision code and its pending work.

use std::collections::BTreeMap;

use feed::{LogReader, Outbox};
use lease::{Elector, Identity, LeaseTimes, OrderScheduler};
use once::{EpochCounter, Home, IdempotencyKey, InstanceEpoch, Witness};
use rand::Rng;
use rand_pcg::Pcg64;

/// Lease group of all engines in the simulation.
pub(crate) const GROUP: &str = "m/zone";

/// Lease times in the simulation.
pub(crate) const TIMES: LeaseTimes = LeaseTimes {
    ttl_ms: 2_000,
    margin_ms: 700,
};

/// A call that waits at its home for the witness or the service.
#[derive(Debug, Clone)]
pub(crate) struct PendingCall {
    pub(crate) key: IdempotencyKey,
    pub(crate) body: u64,
    pub(crate) until_ms: u64,
    pub(crate) stage: Stage,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    Witness,
    Service,
}

/// An order that was decided and is sent in the next tick.
#[derive(Debug, Clone)]
pub(crate) struct QueuedOrder {
    pub(crate) order: lease::OutgoingOrder,
    pub(crate) fencing_token: u64,
}

#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of a fake"
)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) started_ms: u64,
    /// Whether the process exists; a dead one is replaced under the same name.
    pub(crate) alive: bool,
    /// Whether it has caught up with the log and serves calls.
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) cut_until_ms: u64,
    pub(crate) send_cut_until_ms: u64,
    pub(crate) log_cut_until_ms: u64,
    pub(crate) clock_rate: f64,
    pub(crate) log_reader: LogReader,
    pub(crate) outbox: Outbox,
    pub(crate) append_until_ms: Option<u64>,
    pub(crate) next_read_ms: u64,
    pub(crate) reading: bool,
    pub(crate) elector: Elector,
    /// Own clock time of the last claim or renewal, in ms.
    pub(crate) claimed_ms: Option<u64>,
    pub(crate) order_scheduler: OrderScheduler,
    pub(crate) queued_orders: Vec<QueuedOrder>,
    pub(crate) home: Home,
    pub(crate) witness: Witness,
    /// Pending calls by idempotency key.
    pub(crate) pending: BTreeMap<String, PendingCall>,
    /// Log offset of the record that put the current bundle in force.
    pub(crate) in_force_offset: u64,
}

impl Instance {
    pub(crate) fn new(name: &str, now_ms: u64, rng: &mut Pcg64) -> Self {
        let incarnation: u64 = rng.random();
        let identity = Identity {
            instance: name.to_owned(),
            incarnation,
        };
        let epochs = EpochCounter::new(0);
        Self {
            name: name.to_owned(),
            incarnation,
            started_ms: now_ms,
            alive: true,
            ready: false,
            stopping: false,
            paused_until_ms: 0,
            cut_until_ms: 0,
            send_cut_until_ms: 0,
            log_cut_until_ms: 0,
            clock_rate: 1.0,
            log_reader: LogReader::default(),
            outbox: Outbox::new(name, incarnation),
            append_until_ms: None,
            next_read_ms: now_ms,
            reading: false,
            elector: Elector::new(identity, GROUP, TIMES, 0),
            claimed_ms: None,
            order_scheduler: OrderScheduler::default(),
            queued_orders: Vec::new(),
            home: Home::new(name, incarnation, epochs),
            witness: Witness::new(name, incarnation, epochs),
            pending: BTreeMap::new(),
            in_force_offset: 0,
        }
    }

    /// Monotonic clock of the instance, which keeps running during a pause.
    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        ((now_ms - self.started_ms) as f64 * self.clock_rate) as u64
    }

    pub(crate) fn is_running(&self, now_ms: u64) -> bool {
        self.alive && now_ms >= self.paused_until_ms
    }

    pub(crate) fn can_receive(&self, now_ms: u64) -> bool {
        self.alive && now_ms >= self.cut_until_ms
    }

    pub(crate) fn can_send(&self, now_ms: u64) -> bool {
        self.can_receive(now_ms) && now_ms >= self.send_cut_until_ms
    }

    pub(crate) fn can_reach_log(&self, now_ms: u64) -> bool {
        self.can_send(now_ms) && now_ms >= self.log_cut_until_ms
    }

    pub(crate) fn instance_epoch(&self, now_ms: u64) -> InstanceEpoch {
        InstanceEpoch {
            instance: self.name.clone(),
            incarnation: self.incarnation,
            epoch: EpochCounter::new(0).epoch_at(self.clock_ms(now_ms)),
        }
    }
}
