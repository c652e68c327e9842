//! Failure attribution: whether a lost connection was caused by the request or by its upstream.
//!
//! A lost answer alone proves little, since the upstream may have closed just that connection. If the whole
//! upstream ended, and it happens again to the same request, the request may be the cause (`view::poison`). A
//! health check therefore opens another connection at once. If that succeeds, the connection serves the next
//! request; if not, the upstream counts as unreachable before the next request tries it.

use std::rc::Rc;
use std::time::Duration;

use plan::Sign;
use view::FailureEvidence;

use crate::answer::Refusal;
use crate::call::Call;
use crate::inquiry::ask;
use crate::path_check::{suspect_path, suspect_path_after_loss};
use crate::reachability::settle;
use crate::relay::Relay;
use crate::upstream::Upstream;

/// Poll interval while a health check is running, in ms. A check takes about one round trip.
const HEALTH_CHECK_POLL_MS: u64 = 2;

/// Refuses a poison request, which terminates the upstreams that run it.
///
/// Called before each send: a prompt may wait for seconds between two sends, and other instances may have
/// identified it meanwhile. If the connection to an upstream was lost just now, this waits until the health check of
/// that upstream is complete; otherwise the request could terminate a third one before the end of the first is known.
pub async fn ensure_not_poison(relay: &Relay, call: &Call) -> Result<(), Refusal> {
    while relay.is_attribution_pending(call) {
        actix_rt::time::sleep(Duration::from_millis(HEALTH_CHECK_POLL_MS)).await;
    }
    relay.check_poison(call)
}

/// Records that a connection ended under a request before the answer was complete, and starts a
/// health check of the upstream unless one is running.
///
/// While this instance is cut off from the service, the loss says nothing about either.
pub fn note_lost_answer(relay: &Rc<Relay>, call: &Call, upstream: &Rc<Upstream>) {
    if !relay.note_loss(call, upstream) {
        return;
    }
    relay.record_attribution(FailureEvidence::Lost {
        request: call.key,
        upstream: upstream.key,
    });
    suspect_path_after_loss(relay, &upstream.service);
    // An engine that terminates loses dozens of answers at once; one check is enough for all of them.
    if !upstream.begin_health_check() {
        return;
    }
    let (relay, upstream) = (Rc::clone(relay), Rc::clone(upstream));
    actix_rt::spawn(async move {
        check_health(&relay, &upstream).await;
        upstream.end_health_check();
    });
}

/// Asks the upstream for a sign of life; if its address refuses connections, reports to the failure attribution that it
/// has ended.
///
/// An instance that lost its own path would otherwise accuse the requests under way of ending all upstreams, and its
/// peers would refuse them.
async fn check_health(relay: &Rc<Relay>, upstream: &Upstream) {
    let began_ms = relay.now_ms();
    let sign = ask(relay, upstream).await;
    if sign.proves_path() || sign == Sign::NotAsked {
        return;
    }
    upstream.note_unreachable(relay.now_ms());
    suspect_path(relay, &upstream.service, began_ms);
    if sign == Sign::Refused {
        settle(relay, &upstream.service).await;
        if relay.is_cut_off(&upstream.service) {
            return;
        }
        log::info!(upstream = upstream.id, sign:?; "health check failed: upstream has terminated");
        relay.record_attribution(FailureEvidence::Ended(upstream.key));
    }
}
