//! Holds generations for which no engine has room until one has, or refuses them.
//!
//! The decisions are those of the crate `queue`; this module supplies what this instance knows and carries them out.
//! See docs/design/waiting.md.

use std::rc::Rc;
use std::time::Duration;

use plan::{LateRequest, LatestStart};
use queue::{FreePlaces, QueueRefusal, RefusalCause, Waiter};
use view::gossip::PERIOD_MS;

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::config::Access;
use crate::dialect::{Prompt, ReportedLoad};
use crate::placement;
use crate::relay::{Phase, Relay};
use crate::room_waiters::{Reservation, ServiceWaiters, Verdict};
use crate::shares;
use crate::upstream::Upstream;

/// Largest part of the time to a caller's deadline for which its request is held.
const MAX_HELD_FRACTION: f64 = 0.7;

/// Fraction of the remaining time that the request itself may be predicted to need.
const USABLE_TIME_FRACTION: f64 = 0.8;

/// Time that a caller has waited before from which its request counts as one that returns after a refusal, in ms;
/// below the shortest delay after which refused callers are told to return.
const RETURNING_MS: u64 = 60;

/// Part of the objective that a request may spend in the queue of its engine, which this instance does not order.
const ENGINE_WAIT_FRACTION: f64 = 0.4;

/// Assumed time in which a slot becomes free, in ms, until the rate is observed.
const ASSUMED_TURNOVER_MS: f64 = 250.0;

/// Whether generations of a service wait for room.
pub fn is_enabled(relay: &Relay, service: &str) -> bool {
    if !relay.settings.borrow().scheduling.waiting.is_auto() {
        return false;
    }
    let Some(config) = relay.config() else {
        return false;
    };
    let has_workspaces = matches!(config.access, Access::Keyed { .. });
    let is_called_for = has_workspaces || relay.upstreams.borrow().reports_pace(service);
    is_called_for && config.service(service).is_some()
}

/// How far the workspace of a request is over its share of engine time; 0 if it has none.
fn share_excess(relay: &Relay, call: &Call) -> f64 {
    let workspace = call.workspace.as_ref();
    workspace.map_or(0.0, |workspace| shares::share_excess(relay, workspace))
}

/// Waits until an engine has room for a generation, or refuses it.
///
/// Returns without a place if generations of the service do not wait, or if placement decides at once: this instance
/// is cut off, no engine accepts requests, or the request goes on with a stream.
pub async fn wait_for_room(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
) -> Result<Option<Reservation>, Refusal> {
    call.needs_room.set(false);
    let since_ms = relay.now_ms();
    loop {
        if !is_enabled(relay, &call.service) || goes_first(call) {
            return Ok(None);
        }
        let now_ms = relay.now_ms();
        let waiters = relay.room_waiters.of(&call.service);
        let Some(free) = room(relay, &waiters) else {
            return Ok(None);
        };
        call.needs_room.set(true);
        if waiters.queue.borrow().is_empty()
            && let Some(reservation) = take_place(relay, &waiters, &free)
        {
            waiters.queue.borrow_mut().note_placed(now_ms);
            return Ok(Some(reservation));
        }
        if relay.phase() != Phase::Serving {
            let retry_after_ms = waiters.queue.borrow_mut().return_after_ms(now_ms);
            return Err(stopped(relay, call, retry_after_ms));
        }
        let Ok(processing_ms) = placement::processing_ms(relay, call, prompt) else {
            return Ok(None);
        };
        placement::record_demand(relay, call, prompt);
        let waiter = waiter(relay, call, since_ms, processing_ms);
        let assumed_per_ms =
            free.slots / ASSUMED_TURNOVER_MS / relay.instance_count().max(1) as f64;
        let queued = waiters.enqueue(now_ms, waiter, assumed_per_ms);
        let request = queued.map_err(|refusal| refuse(relay, call, refusal, since_ms))?;
        serve(relay, &waiters);
        let verdict = request.decided().await;
        let waited_ms = relay.now_ms() - now_ms;
        call.queued_ms.set(call.queued_ms.get() + waited_ms);
        match verdict {
            Verdict::Placed(reservation) => {
                let metrics = &relay.metrics.waiting;
                metrics
                    .waited_s
                    .with_label_values(&[call.service.as_str()])
                    .observe(waited_ms as f64 / 1_000.0);
                return Ok(Some(reservation));
            }
            Verdict::Again => {}
            Verdict::Refused(refusal) => return Err(refuse(relay, call, refusal, since_ms)),
            Verdict::Stopped { retry_after_ms } => {
                return Err(stopped(relay, call, retry_after_ms));
            }
        }
    }
}

/// Whether a request that its engine rejected for lack of capacity may wait for room again; refuses it if the retry
/// budget does not allow another send.
pub fn requeue(relay: &Relay, call: &Call) -> Result<(), Refusal> {
    call.note_unrun_rejection();
    if relay.may_send(call) {
        return Ok(());
    }
    let waiters = relay.room_waiters.of(&call.service);
    let retry_after_ms = waiters.queue.borrow_mut().return_after_ms(relay.now_ms());
    Err(Refusal::with_retry_after(Reason::Rejected, retry_after_ms))
}

/// Records that the engines of a service may have room again.
pub fn room_freed(relay: &Relay, service: &str) {
    relay.room_waiters.of(service).freed.wake();
}

/// Records the load that an engine reported with an answer to a request that it accepted.
pub fn note_accepted(relay: &Relay, engine: &Upstream, load: Option<ReportedLoad>) {
    if let Some(load) = load
        && is_enabled(relay, &engine.service)
    {
        engine.note_accepted(load);
        room_freed(relay, &engine.service);
    }
}

/// Whether a request is placed at once: a stream that began goes on at engines of one version only, and a trial of a
/// prompt part is awaited by other requests.
fn goes_first(call: &Call) -> bool {
    call.began_version.get().is_some() || call.part_trial.get().is_some()
}

/// The free places for requests of a service; none if placement decides on them at once.
fn room(relay: &Relay, waiters: &ServiceWaiters) -> Option<FreePlaces> {
    if relay.is_cut_off(&waiters.service) {
        return None;
    }
    let engines = placement::engines_with_slots(relay, &waiters.service);
    let now_ms = relay.now_ms();
    let mut free = FreePlaces::default();
    for engine in &engines {
        engine.report_freed_places(&waiters.freed);
        free.add(engine.free_places(now_ms), engine.slots);
    }
    (!engines.is_empty()).then_some(free)
}

/// Takes a place for one request if there is one and this instance may have it.
fn take_place(relay: &Relay, waiters: &ServiceWaiters, free: &FreePlaces) -> Option<Reservation> {
    // An instance that stops has no later period in which to take its share.
    if relay.phase() != Phase::Serving {
        let is_free = free.places - f64::from(waiters.reserved()) >= 1.0;
        return is_free.then(|| waiters.reserve());
    }
    let mut quota = waiters.quota.get();
    let instances = relay.instance_count();
    // Places that were freed before nothing waited are known to peers by now, and are theirs as well.
    quota.add_freed(waiters.freed.take());
    quota.refresh(relay.now_ms(), free, instances, rand::random());
    let is_taken = quota.take(free, waiters.reserved());
    waiters.quota.set(quota);
    is_taken.then(|| waiters.reserve())
}

/// What the queue needs to know of a request that itself takes `processing_ms`.
fn waiter(relay: &Relay, call: &Call, since_ms: u64, processing_ms: f64) -> Waiter {
    let goal_ms = call.route.goal_ms as f64;
    let arrived_ms = call.arrived_ms as f64;
    let total_ms = call.left_ms(call.arrived_ms) as f64;
    let latest_ms = LatestStart::default().max_wait_ms(&LateRequest {
        goal_ms,
        processing_ms,
        waited_ms: call.prior_wait_ms as f64,
        left_ms: total_ms * USABLE_TIME_FRACTION,
    });
    let engine_wait_ms = goal_ms * ENGINE_WAIT_FRACTION;
    let held_ms = (latest_ms - engine_wait_ms - processing_ms)
        .min(total_ms - processing_ms / USABLE_TIME_FRACTION)
        .min(total_ms * MAX_HELD_FRACTION);
    let on_time_ms = goal_ms - engine_wait_ms - call.prior_wait_ms as f64 - processing_ms;
    Waiter {
        rank: call.priority(),
        since_ms,
        on_time_until_ms: (arrived_ms + on_time_ms) as u64,
        send_until_ms: (arrived_ms + held_ms) as u64,
        is_returning: call.prior_wait_ms >= RETURNING_MS,
        share_excess: share_excess(relay, call),
    }
}

/// Starts the task that gives places to the requests of a service, unless it runs.
fn serve(relay: &Rc<Relay>, waiters: &Rc<ServiceWaiters>) {
    let Some(serving) = waiters.begin_serving() else {
        return;
    };
    let version = relay.config().map_or(0, |config| config.version);
    waiters.config_version.set(version);
    let (relay, waiters) = (Rc::clone(relay), Rc::clone(waiters));
    actix_rt::spawn(async move {
        while let Some(until_ms) = next_look_ms(&relay, &waiters) {
            let pause = Duration::from_millis(until_ms.saturating_sub(relay.now_ms()));
            tokio::select! {
                () = waiters.freed.changed() => {}
                () = actix_rt::time::sleep(pause) => {}
            }
            decide(&relay, &waiters);
        }
        drop(serving);
    });
}

/// When to look at the queue at the latest; none if nothing waits.
fn next_look_ms(relay: &Relay, waiters: &ServiceWaiters) -> Option<u64> {
    let expiry_ms = waiters.queue.borrow().next_expiry_ms()?;
    Some(expiry_ms.min(relay.now_ms() + PERIOD_MS))
}

/// Decides on the requests that wait for a service.
fn decide(relay: &Relay, waiters: &ServiceWaiters) {
    let now_ms = relay.now_ms();
    let version = relay.config().map_or(0, |config| config.version);
    let is_changed = waiters.config_version.replace(version) != version;
    let free = room(relay, waiters);
    let Some(free) = free.filter(|_| !is_changed && is_enabled(relay, &waiters.service)) else {
        waiters.tell_all(now_ms, |_| Verdict::Again);
        return;
    };
    let refused = waiters.queue.borrow_mut().expire(now_ms);
    for (id, refusal) in refused {
        waiters.tell(id, Verdict::Refused(refusal));
    }
    while !waiters.queue.borrow().is_empty() {
        let Some(place) = take_place(relay, waiters, &free) else {
            break;
        };
        let next = waiters.queue.borrow_mut().next(now_ms);
        if let Some((id, _)) = next {
            waiters.tell(id, Verdict::Placed(place));
        }
    }
    if relay.phase() != Phase::Serving {
        waiters.tell_all(now_ms, |queue| Verdict::Stopped {
            retry_after_ms: queue.return_after_ms(now_ms),
        });
    }
}

/// Logs and counts a refusal by the queue, and turns it into that of the request.
fn refuse(relay: &Relay, call: &Call, refusal: QueueRefusal, since_ms: u64) -> Refusal {
    let cause = refusal.cause.label();
    note_refusal(relay, call, cause);
    let now_ms = relay.now_ms();
    if relay.failure_log_limit.take(now_ms) {
        log::info!(
            request = call.id(), service = call.service, workspace = call.workspace_name(), cause,
            waited_ms = now_ms - since_ms, ahead = refusal.ahead, retry_after_ms = refusal.retry_after_ms;
            "request refused by the queue"
        );
    }
    let reason = match refusal.cause {
        RefusalCause::Full => Reason::NoUpstream,
        RefusalCause::WaitTooLong | RefusalCause::Expired => Reason::TooLate,
    };
    Refusal::with_retry_after(reason, refusal.retry_after_ms)
}

/// Counts and builds the refusal of a request for which a stopping instance has no room.
fn stopped(relay: &Relay, call: &Call, retry_after_ms: u64) -> Refusal {
    note_refusal(relay, call, "stopping");
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), service = call.service, workspace = call.workspace_name(), cause = "stopping",
            retry_after_ms;
            "request refused by the queue"
        );
    }
    Refusal::with_retry_after(Reason::NoUpstream, retry_after_ms)
}

fn note_refusal(relay: &Relay, call: &Call, cause: &str) {
    let labels = [call.service.as_str(), cause];
    relay
        .metrics
        .waiting
        .refusals
        .with_label_values(&labels)
        .inc();
}
