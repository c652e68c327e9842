//! Changes of engines' roles: which are wished for, and how one is ordered.
//!
//! Every instance measures what it is asked; the first by name among those that are ready acts on it.
//! That only keeps instances from asking for the same change at once: what makes an order safe is
//! `lease::Turns`, whoever believes to be the first. Without any of them requests are served as
//! before. See docs/design/orders.md.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use lease::{Ticket, Turns};
use plan::{Demand, Peak, Rate, Split, SplitPlan, Turn, Verdict};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tick::since_boot_ms;

use crate::dialect::EngineReport;
use crate::pool::{Pool, exchange};
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Time between two looks at the split, in ms.
pub const LOOK_MS: u64 = 250;

/// Time for one call to an engine about its role, in ms: hundreds of round trips.
const CALL_MS: u64 = 500;

/// Time for which traffic must have been seen before anything is ordered, in ms.
const SEEN_MS: u64 = 1_500;

/// Requests that this instance must have in a look's average before it acts on it: one that callers
/// do not reach would believe that nothing is asked for.
const LEAST_REQUESTS_A_S: f64 = 3.0;

/// Age from which an upstream may be ordered, in ms; one that is newly back may go again.
const SETTLED_MS: u64 = 1_000;

/// Time after an order until its engine may get another one, in ms: orders that are carried out late
/// come up to 12 s after.
const REST_MS: u64 = 15_000;

/// Time for which an ordered engine gets no work of its old kind, in ms, unless its list entry
/// changes before: it ends what it has and is away for some seconds.
const TURNING_MS: u64 = 6_000;

/// Time in which other instances are told of an order before its engine is, in ms: two tellings.
const TELL_MS: u64 = 200;

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
    let passed_ms = now_ms
        - orders
            .looked_ms
            .replace(now_ms)
            .max(now_ms.saturating_sub(LOOK_MS));
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

/// Gives an order that stands in the log.
///
/// It is sent once. Whether one without an answer was taken shows in the list of upstreams, and it
/// is wished for again if it was not.
pub async fn give(relay: &Rc<Relay>, wish: &Wish, ticket: Ticket) {
    let engine = &wish.engine;
    let now_ms = relay.now_ms();
    relay
        .orders
        .given
        .borrow_mut()
        .insert(engine.id.clone(), now_ms);
    if let Some(asked) = relay.orders.asked.borrow_mut().get_mut(&wish.service) {
        asked.plan.ordered(now_ms, wish.turn);
    }
    // Told to the others before the engine is: what they send there in ignorance is rejected unrun.
    engine.turns_to(now_ms, wish.stage, TURNING_MS, true);
    actix_rt::time::sleep(Duration::from_millis(TELL_MS)).await;
    let outcome = send(relay, wish, ticket).await;
    // One without an answer may have been taken.
    let may_turn = match &outcome {
        Ok(status) => status.is_success(),
        Err(unsent) => unsent.may_have_been_taken,
    };
    if !may_turn {
        engine.stays();
    }
    let label = match &outcome {
        Ok(status) if status.is_success() => "taken",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    };
    relay.metrics.orders.with_label_values(&[label]).inc();
    let result = match outcome {
        Ok(status) => status.as_u16().to_string(),
        Err(unsent) => unsent.why,
    };
    log::info!(
        engine = engine.id, stage:? = wish.stage, fence = ticket.fence, result,
        reading = wish.demand.reading, making = wish.demand.making,
        readers = wish.split.readers, makers = wish.split.makers, away = wish.split.away;
        "role ordered"
    );
}

/// Why an order has no answer.
struct Unsent {
    why: String,
    may_have_been_taken: bool,
}

impl Unsent {
    fn before(why: &impl ToString) -> Self {
        Self {
            why: why.to_string(),
            may_have_been_taken: false,
        }
    }
}

/// Asks the engine where it stands, and sends it the order if that still holds.
async fn send(relay: &Relay, wish: &Wish, ticket: Ticket) -> Result<StatusCode, Unsent> {
    let engine = &wish.engine;
    let report = report(relay, engine).await?;
    if report.is_busy || report.stage == wish.stage {
        return Err(Unsent::before(&"its report says otherwise"));
    }
    let holder = relay.settings.borrow().name.clone();
    let (path, body) = relay.dialect.order(&Order {
        holder: &holder,
        fence: ticket.fence,
        after: report.orders,
        reads: wish.stage == Stage::Prefill,
    });
    let request = request(relay, engine, Method::POST, &path, body)?;
    if !ticket.is_valid(since_boot_ms()) {
        return Err(Unsent::before(&"too late to send it"));
    }
    let sent = call(relay, engine, request).await;
    let (status, _) = sent.map_err(|why| Unsent {
        why,
        may_have_been_taken: true,
    })?;
    Ok(status)
}

async fn report(relay: &Relay, engine: &Upstream) -> Result<EngineReport, Unsent> {
    let request = request(
        relay,
        engine,
        Method::GET,
        relay.dialect.report_path(),
        Vec::new(),
    )?;
    let (status, body) = call(relay, engine, request)
        .await
        .map_err(|why| Unsent::before(&why))?;
    if status != StatusCode::OK {
        return Err(Unsent::before(&format!("report: status {status}")));
    }
    let report = relay.dialect.reported(&body);
    report.ok_or_else(|| Unsent::before(&"report not understood"))
}

fn request(
    relay: &Relay,
    engine: &Upstream,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<bytes::Bytes>>, Unsent> {
    let mut headers = HeaderMap::new();
    relay.dialect.expect(&mut headers, &engine.id);
    let built = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, engine.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    let mut request = built.map_err(|error| Unsent::before(&error))?;
    request.headers_mut().extend(headers);
    Ok(request)
}

/// One call over a connection of its own, which ends with it: what the kernel still holds of an
/// order that was given up must not leave over a connection that lives on.
async fn call(
    relay: &Relay,
    engine: &Upstream,
    request: Request<Full<bytes::Bytes>>,
) -> Result<(StatusCode, bytes::Bytes), String> {
    let answer = async {
        let pool = Pool::new(engine.address, relay.clock);
        let (response, _lease) = exchange(&pool, 1, request)
            .await
            .map_err(|fault| fault.to_string())?;
        let status = response.status();
        let collected = response.into_body().collect().await;
        let body = collected.map_err(|error| error.to_string())?.to_bytes();
        Ok((status, body))
    };
    let wait = Duration::from_millis(CALL_MS);
    let answered = actix_rt::time::timeout(wait, answer).await;
    answered.unwrap_or_else(|_| Err(format!("nothing within {CALL_MS} ms")))
}
