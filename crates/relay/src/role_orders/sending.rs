//! One order on its way to an engine.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::Full;
use lease::SendPermit;
use tick::since_boot_ms;

use super::{PlannedChange, RoleOrder};
use crate::dialect::EngineReport;
use crate::pool::call_on_new_connection;
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Time for one call to an engine about its role, in ms: hundreds of round trips.
const CALL_MS: u64 = 500;

/// Time in which other instances are told of an order before its engine is, in ms: by way of two hubs,
/// and one datagram more.
const TELL_MS: u64 = 400;

/// Time for which an ordered engine gets no work, in ms, unless its list entry changes before: it ends
/// what it has, which takes as long as callers wait at most, and is away for some seconds. At half of
/// that, one engine rejected 143 requests in the third of a second that it still took.
const TURNING_MS: u64 = 12_000;

/// Notes that an order stands in the log, before it is given.
pub fn order_logged(relay: &Relay, wish: &PlannedChange, ticket: SendPermit) {
    let engine = &wish.engine;
    let now_ms = relay.now_ms();
    relay.role_orders.last_fence.set(ticket.fence);
    relay
        .role_orders
        .given
        .borrow_mut()
        .insert(engine.id.clone(), now_ms);
    if let Some(asked) = relay.role_orders.asked.borrow_mut().get_mut(&wish.service) {
        asked.plan.record_order(now_ms, wish.turn);
    }
    // Told to the others before the engine is: what they send there in ignorance is rejected unrun.
    engine.begin_role_change(now_ms, wish.stage, TURNING_MS, true);
}

/// Gives an order that stands in the log.
///
/// It is sent once. Whether one without an answer was taken shows in the list of upstreams, and it
/// is wished for again if it was not.
pub async fn send_order(relay: &Relay, wish: &PlannedChange, ticket: SendPermit) {
    let engine = &wish.engine;
    actix_rt::time::sleep(Duration::from_millis(TELL_MS)).await;
    let outcome = send(relay, wish, ticket).await;
    // One without an answer may have been taken.
    let may_turn = match &outcome {
        Ok(status) => status.is_success(),
        Err(unsent) => unsent.may_have_been_taken,
    };
    if !may_turn {
        engine.cancel_role_change();
    }
    let label = match &outcome {
        Ok(status) if status.is_success() => "taken",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    };
    relay.metrics.role_orders.with_label_values(&[label]).inc();
    let result = match outcome {
        Ok(status) => status.as_u16().to_string(),
        Err(unsent) => unsent.why,
    };
    log::info!(
        engine = engine.id, stage:? = wish.stage, fence = ticket.fence, result,
        reading = wish.demand.prefill, making = wish.demand.decode,
        readers = wish.split.prefill, makers = wish.split.decode, away = wish.split.changing;
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
async fn send(
    relay: &Relay,
    wish: &PlannedChange,
    ticket: SendPermit,
) -> Result<StatusCode, Unsent> {
    let engine = &wish.engine;
    let report = report(relay, engine).await?;
    if report.is_busy || report.stage == wish.stage {
        return Err(Unsent::before(&"its report says otherwise"));
    }
    if !engine.is_ready() {
        return Err(Unsent::before(&"it is leaving"));
    }
    let holder = relay.settings.borrow().name.clone();
    let (path, body) = relay.dialect.order_request(&RoleOrder {
        holder: &holder,
        fence: ticket.fence,
        orders_before: report.orders,
        is_prefill: wish.stage == Stage::Prefill,
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
    let report = relay.dialect.parse_engine_report(&body);
    report.ok_or_else(|| Unsent::before(&"report not understood"))
}

fn request(
    relay: &Relay,
    engine: &Upstream,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, Unsent> {
    let mut headers = HeaderMap::new();
    relay
        .dialect
        .write_expected_instance(&mut headers, &engine.id);
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

async fn call(
    relay: &Relay,
    engine: &Upstream,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let wait = Duration::from_millis(CALL_MS);
    call_on_new_connection(engine.address, relay.clock, request, wait).await
}
