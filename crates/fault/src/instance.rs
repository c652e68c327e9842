//! One entry instance: the product's decision code with what it waits for.

use std::collections::BTreeMap;

use feed::{LogReader, Outbox};
use lease::{Elector, Identity, LeaseTimes, OrderScheduler};
use once::{EpochCounter, Home, IdempotencyKey, InstanceEpoch, Witness};
use rand::Rng;
use rand_pcg::Pcg64;

/// Group of all engines here.
pub(crate) const GROUP: &str = "m/zone";

/// Times of the leases here.
pub(crate) const TIMES: LeaseTimes = LeaseTimes {
    ttl_ms: 2_000,
    margin_ms: 700,
};

/// What a home waits for, for one key.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
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

/// An order on its way out: decided, and written at the next chance.
#[derive(Debug, Clone)]
pub(crate) struct Leaving {
    pub(crate) send: lease::OutgoingOrder,
    pub(crate) fence: u64,
}

#[allow(
    clippy::struct_excessive_bools,
    reason = "independent switches of a fake"
)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) born_ms: u64,
    pub(crate) alive: bool,
    pub(crate) ready: bool,
    pub(crate) stopping: bool,
    pub(crate) paused_until_ms: u64,
    pub(crate) cut_until_ms: u64,
    pub(crate) mute_until_ms: u64,
    pub(crate) log_cut_until_ms: u64,
    pub(crate) clock_rate: f64,
    pub(crate) cursor: LogReader,
    pub(crate) outbox: Outbox,
    pub(crate) append_until_ms: Option<u64>,
    pub(crate) read_at_ms: u64,
    pub(crate) reading: bool,
    pub(crate) elector: Elector,
    pub(crate) claimed_ms: Option<u64>,
    pub(crate) desk: OrderScheduler,
    pub(crate) leaving: Vec<Leaving>,
    pub(crate) home: Home,
    pub(crate) witness: Witness,
    pub(crate) waiting: BTreeMap<String, Waiting>,
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
            born_ms: now_ms,
            alive: true,
            ready: false,
            stopping: false,
            paused_until_ms: 0,
            cut_until_ms: 0,
            mute_until_ms: 0,
            log_cut_until_ms: 0,
            clock_rate: 1.0,
            cursor: LogReader::default(),
            outbox: Outbox::new(name, incarnation),
            append_until_ms: None,
            read_at_ms: now_ms,
            reading: false,
            elector: Elector::new(identity, GROUP, TIMES, 0),
            claimed_ms: None,
            desk: OrderScheduler::default(),
            leaving: Vec::new(),
            home: Home::new(name, incarnation, epochs),
            witness: Witness::new(name, incarnation, epochs),
            waiting: BTreeMap::new(),
            in_force_offset: 0,
        }
    }

    /// The instance's own monotonic clock, which runs on while it is paused.
    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        ((now_ms - self.born_ms) as f64 * self.clock_rate) as u64
    }

    pub(crate) fn acts(&self, now_ms: u64) -> bool {
        self.alive && now_ms >= self.paused_until_ms
    }

    pub(crate) fn hears(&self, now_ms: u64) -> bool {
        self.alive && now_ms >= self.cut_until_ms
    }

    pub(crate) fn speaks(&self, now_ms: u64) -> bool {
        self.hears(now_ms) && now_ms >= self.mute_until_ms
    }

    pub(crate) fn reaches_log(&self, now_ms: u64) -> bool {
        self.speaks(now_ms) && now_ms >= self.log_cut_until_ms
    }

    pub(crate) fn place(&self, now_ms: u64) -> InstanceEpoch {
        InstanceEpoch {
            instance: self.name.clone(),
            incarnation: self.incarnation,
            epoch: EpochCounter::new(0).epoch_at(self.clock_ms(now_ms)),
        }
    }
}
