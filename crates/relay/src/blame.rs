//! What is noted when a connection ends under a request.
//!
//! A loss alone says little: an upstream may have closed one connection, or have ended with all of them. Only
//! the second is held against a request that meets it twice (`view::suspects`), so it is found out at once by
//! opening another connection. One that is opened serves the next request; one that is refused spares the
//! next request the finding out.

use std::rc::Rc;

use view::Fate;

use crate::call::Call;
use crate::pool::Fault;
use crate::relay::Relay;
use crate::send::{most_connections, note_unsent};
use crate::upstream::Upstream;

/// An upstream's connection ended under a request, without a whole answer.
pub fn note_lost(relay: &Rc<Relay>, call: &Call, upstream: &Rc<Upstream>) {
    relay.saw(Fate::Lost {
        request: call.key,
        upstream: upstream.key,
    });
    // An engine ends with dozens of answers; one look is enough for all.
    if upstream.is_looked_at.replace(true) {
        return;
    }
    let most = most_connections(relay, &call.service);
    let (relay, upstream) = (Rc::clone(relay), Rc::clone(upstream));
    actix_rt::spawn(async move {
        look(&relay, &upstream, most).await;
        upstream.is_looked_at.set(false);
    });
}

async fn look(relay: &Relay, upstream: &Upstream, most: usize) {
    let Err(fault) = upstream.pool.warm_up(most).await else {
        return;
    };
    note_unsent(relay, upstream, &fault);
    if let Fault::Connect { .. } = fault {
        log::info!(upstream = upstream.id, fault:%; "upstream has ended");
        relay.saw(Fate::Ended(upstream.key));
    }
}
