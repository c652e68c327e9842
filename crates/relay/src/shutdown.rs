//! Graceful shutdown: the requests in flight finish before the process ends.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::relay::{Phase, Relay};

/// Fraction of the grace period in which a leaving instance still accepts connections: callers cache its
/// address for a while.
const ACCEPT_SHARE: f64 = 0.35;

/// Fraction of the grace period after which a leaving instance ends even with requests in flight; the
/// remainder is for the exit of the process.
const END_SHARE: f64 = 0.95;

/// Fraction of the grace period after which requests that have no answer yet get one.
const ANSWER_SHARE: f64 = 0.9;

/// Interval between checks for requests in flight, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// Time without a request in flight after which none comes any more, and the last answers have reached callers, in ms:
/// several round trips.
const FLUSH_MS: u64 = 150;

/// Shuts down within `grace_ms`: no longer offers the instance to callers, then closes its listeners, and
/// returns once no request is in flight or the time is nearly over. `announce` informs the other instances.
pub async fn shut_down(
    relay: &Rc<Relay>,
    phase: &watch::Sender<Phase>,
    grace_ms: f64,
    announce: impl Future<Output = ()>,
) {
    let began_ms = relay.now_ms();
    let at_ms = |share: f64| began_ms + (grace_ms * share) as u64;
    relay.planned_stop.begin(at_ms(ANSWER_SHARE));
    enter(relay, phase, Phase::Leaving);
    announce.await;
    sleep(at_ms(ACCEPT_SHARE).saturating_sub(relay.now_ms())).await;
    enter(relay, phase, Phase::Closing);
    // An answer is in flight until its caller has read it, not until it is taken from the upstream.
    let is_busy = || relay.in_flight.get() > 0 || relay.unwritten_connections.get() > 0;
    loop {
        while is_busy() && relay.now_ms() < at_ms(END_SHARE) {
            sleep(CHECK_INTERVAL_MS).await;
        }
        sleep(FLUSH_MS).await;
        // A request may have been read meanwhile, on a connection that was open.
        if !is_busy() || relay.now_ms() >= at_ms(END_SHARE) {
            break;
        }
    }
    let unread = relay.unwritten_connections.get();
    if unread > 0 {
        let counter = &relay.metrics.connections_ended;
        let labels = ["answer", "grace_period"];
        counter.with_label_values(&labels).inc_by(unread as u64);
        log::warn!(connections = unread; "answers not read by their callers when the grace period ended");
    }
}

fn enter(relay: &Relay, sender: &watch::Sender<Phase>, phase: Phase) {
    relay.enter(phase);
    sender.send_replace(phase);
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
