//! A planned stop that cuts no request.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::relay::{Phase, Relay};

/// Part of the grace during which a leaving instance still takes connections: callers keep the
/// addresses that they were given for a while.
const STILL_TAKES_SHARE: f64 = 0.35;

/// Part of the grace after which a leaving instance ends, whatever it still has; the rest is for
/// the end of the process itself.
const END_SHARE: f64 = 0.95;

/// Time between two looks at what is still running, in ms.
const LOOK_MS: u64 = 50;

/// Time for the last answers to leave the machine, in ms: several round trips to callers.
const FLUSH_MS: u64 = 150;

/// Leaves: not handed out any more, then no new connections, then the end once nothing is in
/// flight. `tell` lets the other instances know.
pub async fn shut_down(
    relay: &Rc<Relay>,
    phase: &watch::Sender<Phase>,
    grace_ms: f64,
    tell: impl Future<Output = ()>,
) {
    let began_ms = relay.now_ms();
    let at_ms = |share: f64| began_ms + (grace_ms * share) as u64;
    enter(relay, phase, Phase::Leaving);
    tell.await;
    sleep(at_ms(STILL_TAKES_SHARE).saturating_sub(relay.now_ms())).await;
    enter(relay, phase, Phase::Closing);
    while relay.in_flight.get() > 0 && relay.now_ms() < at_ms(END_SHARE) {
        sleep(LOOK_MS).await;
    }
    sleep(FLUSH_MS).await;
}

fn enter(relay: &Relay, sender: &watch::Sender<Phase>, phase: Phase) {
    relay.enter(phase);
    sender.send_replace(phase);
}

async fn sleep(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}
