//! Choice of the upstream for a request that generates no text.

use std::rc::Rc;

use plan::{Prediction, cheapest};

use super::candidates::candidates;
use super::refusal::{NO_UPSTREAM_RETRY_MS, refuse};
use super::{DEFAULT_ANSWER_MS, USABLE_TIME_FRACTION};
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Fraction by which answers take longer when all slots of an upstream are in use and nothing waits.
const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// Chooses the upstream for a request that generates no text, or refuses it if the answer is
/// predicted to come too late.
pub fn choose_upstream(
    relay: &Relay,
    call: &Call,
    tried: &[String],
) -> Result<Rc<Upstream>, Refusal> {
    let now_ms = relay.now_ms();
    let all = candidates(relay, call, tried, &[Stage::Whole]);
    let predicted = |each: &Rc<Upstream>| {
        let time_factor = each.time_factor(now_ms);
        let answer_ms = if each.answer_ms() > 0.0 {
            // Its own answers contain the lasting part of the factor.
            each.answer_ms() * (time_factor / each.lasting_factor())
        } else {
            DEFAULT_ANSWER_MS * time_factor
        };
        let load = (each.load(now_ms) + 1.0) / f64::from(each.slots);
        let queue = (load - 1.0).max(0.0) + FULL_LOAD_SLOWDOWN * load;
        Prediction {
            wait_ms: answer_ms * queue,
            processing_ms: 2.0 * each.one_way_delay_ms + answer_ms,
            interference_ms: 0.0,
        }
    };
    let Some((index, time)) = cheapest(all.iter().map(predicted)) else {
        return Err(refuse(call, Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    };
    let left_ms = call.left_ms(now_ms) as f64;
    let time_ms = time.total_ms();
    if time_ms > left_ms * USABLE_TIME_FRACTION {
        return Err(refuse(
            call,
            Reason::TooLate,
            time_ms - left_ms * USABLE_TIME_FRACTION,
        ));
    }
    Ok(Rc::clone(&all[index]))
}
