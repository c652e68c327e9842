//! What is noted when a connection ends under a request.
//!
//! A loss alone says little: an upstream may have closed one connection, or have ended with all of them. Only
//! the second is held against a request that meets it twice (`view::poison`), so it is found out at once by
//! opening another connection. One that is opened serves the next request; one that is refused spares the
//! next request the finding out.

use std::rc::Rc;
use std::time::Duration;

use view::FailureEvidence;

use crate::answer::Refusal;
use crate::call::Call;
use crate::pool::ExchangeError;
use crate::relay::Relay;
use crate::send::{max_connections_to, note_exchange_error};
use crate::upstream::Upstream;

/// Time between two glances at a look that is under way, in ms: a look takes one round trip.
const HEALTH_CHECK_POLL_MS: u64 = 2;

/// Refuses a request under which upstreams end.
///
/// Asked before each send, since a prompt may wait for seconds between two of them, in which other instances learn
/// what it is. A request whose second upstream broke off just now waits until it is known whether that one has
/// ended, a round trip as a rule; it would take a third one along in that time.
pub async fn ensure_not_poison(relay: &Relay, call: &Call) -> Result<(), Refusal> {
    while relay.is_attribution_pending(call) {
        actix_rt::time::sleep(Duration::from_millis(HEALTH_CHECK_POLL_MS)).await;
    }
    relay.check_poison(call)
}

/// An upstream's connection ended under a request, without a whole answer.
pub fn note_lost_answer(relay: &Rc<Relay>, call: &Call, upstream: &Rc<Upstream>) {
    relay.record_attribution(FailureEvidence::Lost {
        request: call.key,
        upstream: upstream.key,
    });
    // An engine ends with dozens of answers; one look is enough for all.
    if !upstream.begin_health_check() {
        return;
    }
    let most = max_connections_to(relay, &call.service);
    let (relay, upstream) = (Rc::clone(relay), Rc::clone(upstream));
    actix_rt::spawn(async move {
        check_health(&relay, &upstream, most).await;
        upstream.end_health_check();
    });
}

async fn check_health(relay: &Relay, upstream: &Upstream, most: usize) {
    let Err(fault) = upstream.pool.warm_up(most).await else {
        return;
    };
    note_exchange_error(relay, upstream, &fault);
    if let ExchangeError::Connect { .. } = fault {
        log::info!(upstream = upstream.id, fault:%; "upstream has ended");
        relay.record_attribution(FailureEvidence::Ended(upstream.key));
    }
}
