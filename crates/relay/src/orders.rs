//! Changes of engines' roles: which are wished for, and how one is ordered.
//!
//! Every instance measures what it is asked; the first by name among those that are ready acts on it.
//! That only keeps instances from asking for the same change at once: what makes an order safe is
//! `lease::Turns`, whoever believes to be the first. Without any of them requests are served as
//! before. See docs/design/orders.md.

mod giving;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use lease::Turns;
use plan::{Demand, Peak, Rate, Split, SplitPlan, Turn, Verdict};
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

pub use giving::give;

/// Time between two looks at the split, in ms.
pub const LOOK_MS: u64 = 250;

/// Time for which traffic must have been seen before anything is ordered, in ms: some dozens of
/// requests an instance at the usual load.
const SEEN_MS: u64 = 1_500;

/// Requests a second that this instance must have to act on what it sees: one that callers do not
/// reach would believe that nothing is asked for.
const LEAST_REQUESTS_A_S: f64 = 3.0;

/// Age from which an upstream may be ordered, in ms; one that is newly back may go again.
const SETTLED_MS: u64 = 1_000;

/// Time after an order until its engine may get another one, in ms: orders that are carried out late
/// come up to 12 s after.
const REST_MS: u64 = 15_000;

/// An order as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Life of the process that may send it.
    pub holder: u64,
    /// Name of its instance, for people.
    pub instance: String,
    /// Engine that it is for.
    pub engine: String,
    /// What the engine is to do.
    pub stage: Stage,
}

/// An order as an engine gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order<'a> {
    /// Instance that gives it.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Orders that the engine must have taken before; another number makes it refuse.
    pub after: u64,
    /// Whether it is to read prompts, or to make output.
    pub reads: bool,
}

/// A change that is wished for.
pub struct Wish {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// What it is to do.
    pub stage: Stage,
    service: String,
    turn: Turn,
    demand: Demand,
    split: Split,
}

/// What is asked of one service, as this instance sees it.
#[derive(Default)]
struct Asked {
    reading: Rate,
    making: Rate,
    requests: Rate,
    peak: Peak,
    plan: SplitPlan,
}

/// Orders of one instance.
pub struct Orders {
    turns: RefCell<Turns>,
    asked: RefCell<HashMap<String, Asked>>,
    given: RefCell<HashMap<String, u64>>,
    looked_ms: Cell<u64>,
}

impl Orders {
    /// An instance that has given none, where holders must be `lease_ms` apart.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            turns: RefCell::new(Turns::new(rand::rng().random(), lease_ms)),
            asked: RefCell::default(),
            given: RefCell::default(),
            looked_ms: Cell::default(),
        }
    }

    /// What this instance knows of the log of orders.
    pub fn turns(&self) -> &RefCell<Turns> {
        &self.turns
    }

    /// A generation was asked for that takes an engine `read_ms` to read, served or not.
    pub fn asked(&self, service: &str, now_ms: u64, read_ms: f64) {
        let mut all = self.asked.borrow_mut();
        if !all.contains_key(service) {
            all.insert(service.to_owned(), Asked::default());
        }
        if let Some(asked) = all.get_mut(service) {
            asked.reading.add(now_ms, read_ms);
            asked.requests.add(now_ms, 1.0);
        }
    }
}

/// Measures what is asked, and gives the change that this instance should order now.
pub fn look(relay: &Relay) -> Option<Wish> {
    let now_ms = relay.now_ms();
    let orders = &relay.orders;
    let looked_ms = orders.looked_ms.replace(now_ms);
    let passed_ms = now_ms.saturating_sub(looked_ms).min(LOOK_MS);
    let is_first = is_first(relay);
    let mut all = orders.asked.borrow_mut();
    all.iter_mut().find_map(|(service, asked)| {
        let engines = engines(relay, service, now_ms);
        let places: f64 = engines
            .iter()
            .filter(|each| each.stage() == Stage::Decode)
            .map(|each| f64::from(each.making()) / f64::from(each.slots))
            .sum();
        asked.making.add(now_ms, places * passed_ms as f64);
        is_first
            .then(|| wish(relay, service, asked, &engines))
            .flatten()
    })
}

/// Whether this instance's name is the first among the ready ones.
fn is_first(relay: &Relay) -> bool {
    let own = relay.settings.borrow().name.clone();
    let members = relay.members.borrow();
    relay.is_ready() && members.ready().all(|member| member.name >= own)
}

/// Engines of a service that split the two steps of a generation.
fn engines(relay: &Relay, service: &str, now_ms: u64) -> Vec<Rc<Upstream>> {
    let upstreams = relay.upstreams.borrow();
    let all = upstreams.ready(service, now_ms);
    all.filter(|each| each.stage() != Stage::Whole)
        .cloned()
        .collect()
}

fn wish(relay: &Relay, service: &str, asked: &mut Asked, engines: &[Rc<Upstream>]) -> Option<Wish> {
    let now_ms = relay.now_ms();
    let requests_a_s = asked.requests.a_ms(now_ms) * 1_000.0;
    if asked.requests.seen_ms(now_ms) < SEEN_MS || requests_a_s < LEAST_REQUESTS_A_S {
        return None;
    }
    // Callers spread evenly, so this instance's own part tells the whole.
    let instances = relay.instances() as f64;
    let demand = asked.peak.note(
        now_ms,
        &Demand {
            reading: asked.reading.a_ms(now_ms) * instances,
            making: asked.making.a_ms(now_ms) * instances,
        },
    );
    let away = |each: &&Rc<Upstream>| each.is_turning(now_ms);
    let reads = |each: &&Rc<Upstream>| each.stage_wanted(now_ms) == Stage::Prefill;
    let split = Split {
        readers: engines.iter().filter(reads).count(),
        makers: engines.iter().filter(|each| !reads(each)).count(),
        away: engines.iter().filter(away).count(),
    };
    let turn = asked.plan.next(now_ms, &demand, &split)?;
    let stage = match turn {
        Turn::ToReading => Stage::Prefill,
        Turn::ToMaking => Stage::Decode,
    };
    let engine = chosen(relay, engines, stage)?;
    Some(Wish {
        engine,
        stage,
        service: service.to_owned(),
        turn,
        demand,
        split,
    })
}

/// The engine that is to change: of the zone with the fewest of the new kind, the one with the least
/// to do.
fn chosen(relay: &Relay, engines: &[Rc<Upstream>], stage: Stage) -> Option<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let given = relay.orders.given.borrow();
    let rests = |each: &Upstream| {
        let at_ms = given.get(&each.id);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + REST_MS)
    };
    let there = |zone: &str| {
        let of_zone = engines.iter().filter(|each| each.zone == zone);
        of_zone
            .filter(|each| each.stage_wanted(now_ms) == stage)
            .count()
    };
    engines
        .iter()
        .filter(|each| each.stage() != stage && !each.is_turning(now_ms) && !rests(each))
        .filter(|each| each.verdict(now_ms) == Verdict::Fit && each.age_ms(now_ms) >= SETTLED_MS)
        .min_by(|a, b| {
            let by_zone = there(&a.zone).cmp(&there(&b.zone));
            by_zone.then(a.load(now_ms).total_cmp(&b.load(now_ms)))
        })
        .cloned()
}

/// The record of an order that is wished for.
pub fn record(relay: &Relay, wish: &Wish) -> OrderRecord {
    OrderRecord {
        holder: relay.orders.turns.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        engine: wish.engine.id.clone(),
        stage: wish.stage,
    }
}
