//! Sending of a role order to an engine.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use lease::SendPermit;
use tick::since_boot_ms;

use super::{ChangeReason, PlannedChange, RoleOrder};
use crate::announcement::{AnnouncingAnswer, AnswerTo, note_announcements, note_leaving};
use crate::bounded_body::MAX_CALL_ANSWER_BYTES;
use crate::dialect::{EngineReport, ResponseHead};
use crate::own_request::{own_request, report_request};
use crate::pool::call_on_new_connection;
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Timeout of a call to an engine, in ms: hundreds of round trips.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time between the gossip of an order and its send, in ms: it reaches all instances over two hubs, with one
/// datagram to spare.
const GOSSIP_MS: u64 = 400;

/// Time for which an engine gets no requests after an order, in ms, unless its entry in the list changes
/// before. The engine first finishes its requests, which takes up to the longest deadline, and then changes
/// for some seconds. With half of that time, one engine was sent requests for a third of a second and
/// rejected 143 of them.
const ROLE_CHANGE_MS: u64 = 12_000;

/// Records an order that this instance appended to the log, before it is sent.
pub fn order_logged(relay: &Relay, planned: &PlannedChange, permit: SendPermit) {
    let engine = &planned.engine;
    let now_ms = relay.now_ms();
    relay.role_orders.last_fence.set(permit.fence);
    relay
        .role_orders
        .ordered_ms
        .borrow_mut()
        .insert(engine.id.clone(), now_ms);
    if let Some(state) = relay
        .role_orders
        .services
        .borrow_mut()
        .get_mut(&planned.service)
    {
        match &planned.reason {
            ChangeReason::Split(change) => state.planner.record_order(now_ms, *change),
            ChangeReason::SwapToPrefill { slow } => state.swaps.begin(now_ms, &engine.id, slow),
            ChangeReason::SwapToDecode => {}
        }
    }
    // Gossiped before the order is sent: requests that peers would still send there would be rejected.
    engine.begin_role_change(now_ms, planned.stage, ROLE_CHANGE_MS, true);
}

/// Sends an order whose record is in the log.
///
/// It is sent once. Whether an order without an answer was accepted shows in the list of upstreams; if it was not,
/// the change is planned again.
pub async fn send_order(relay: &Relay, planned: &PlannedChange, permit: SendPermit) {
    let engine = &planned.engine;
    actix_rt::time::sleep(Duration::from_millis(GOSSIP_MS)).await;
    let outcome = send(relay, planned, permit).await;
    // An order without an answer may have been accepted.
    let may_be_accepted = match &outcome {
        Ok(status) => status.is_success(),
        Err(error) => error.may_have_been_accepted,
    };
    if !may_be_accepted {
        engine.cancel_role_change();
    }
    let label = match &outcome {
        Ok(status) if status.is_success() => "taken",
        Ok(_) => "refused",
        Err(_) => "unanswered",
    };
    relay.metrics.role_orders.with_label_values(&[label]).inc();
    let reason = planned.reason.label();
    if label == "taken" {
        let changes = &relay.metrics.role_changes;
        changes.with_label_values(&[reason]).inc();
    }
    let result = match outcome {
        Ok(status) => status.as_u16().to_string(),
        Err(error) => error.why,
    };
    log::info!(
        engine = engine.id, stage:? = planned.stage, reason, factor = engine.lasting_factor(),
        fence = permit.fence, result,
        reading = planned.demand.prefill, making = planned.demand.decode,
        readers = planned.split.prefill, makers = planned.split.decode, away = planned.split.changing;
        "role change ordered"
    );
}

/// Why an order got no answer.
struct OrderError {
    why: String,
    may_have_been_accepted: bool,
}

impl OrderError {
    /// The order was not sent.
    fn before_send(why: &impl ToString) -> Self {
        Self {
            why: why.to_string(),
            may_have_been_accepted: false,
        }
    }
}

/// Asks the engine for its report, and sends the order if it still applies.
async fn send(
    relay: &Relay,
    planned: &PlannedChange,
    permit: SendPermit,
) -> Result<StatusCode, OrderError> {
    let engine = &planned.engine;
    check_accepts(relay, engine)?;
    let report = report(relay, engine).await?;
    check_accepts(relay, engine)?;
    if report.is_busy || report.stage == planned.stage {
        return Err(OrderError::before_send(
            &"the engine is busy or has the role already",
        ));
    }
    let holder = relay.settings.borrow().name.clone();
    let (path, body) = relay.dialect.order_request(&RoleOrder {
        holder: &holder,
        fence: permit.fence,
        orders_before: report.orders,
        is_prefill: planned.stage == Stage::Prefill,
    });
    let request = own_request(relay, engine, Method::POST, &path, body)
        .map_err(|error| OrderError::before_send(&error))?;
    if !permit.is_valid(since_boot_ms()) {
        return Err(OrderError::before_send(
            &"the time to send the order is over",
        ));
    }
    let sent = call(relay, engine, AnswerTo::Order, request).await;
    let response = sent.map_err(|why| OrderError {
        why,
        may_have_been_accepted: true,
    })?;
    Ok(response.status())
}

fn check_accepts(relay: &Relay, engine: &Upstream) -> Result<(), OrderError> {
    if engine.accepts_requests(relay.now_ms()) {
        return Ok(());
    }
    Err(OrderError::before_send(&"the engine is leaving or resting"))
}

async fn report(relay: &Relay, engine: &Upstream) -> Result<EngineReport, OrderError> {
    let request = report_request(relay, engine).map_err(|error| OrderError::before_send(&error))?;
    let response = call(relay, engine, AnswerTo::Report, request)
        .await
        .map_err(|why| OrderError::before_send(&why))?;
    if response.status() != StatusCode::OK {
        return Err(OrderError::before_send(&format!(
            "engine report: status {}",
            response.status()
        )));
    }
    let report = relay.dialect.parse_engine_report(response.body());
    let report =
        report.ok_or_else(|| OrderError::before_send(&"engine report could not be decoded"))?;
    if report.is_leaving {
        let head = ResponseHead::default();
        let answer = AnnouncingAnswer::to_own_call(AnswerTo::Report, response.status(), &head);
        note_leaving(relay, engine, &answer);
    }
    Ok(report)
}

/// Makes a call to an engine on a new connection, and records what the answer announces.
async fn call(
    relay: &Relay,
    engine: &Upstream,
    to: AnswerTo,
    request: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, String> {
    let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
    let response = call_on_new_connection(
        engine.address,
        relay.clock,
        request,
        timeout,
        MAX_CALL_ANSWER_BYTES,
    )
    .await?;
    let head = relay.dialect.parse_response_head(response.headers());
    let answer = AnnouncingAnswer::to_own_call(to, response.status(), &head);
    note_announcements(relay, engine, &answer);
    Ok(response)
}
