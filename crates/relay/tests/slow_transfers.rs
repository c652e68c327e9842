//! One instance's callers while transfers of KV caches are slow for some seconds, or for good, replayed in virtual time.
//!
//! A caller sees an output that starts late, or one that starts later than on a calm day although transfers are fast
//! again: the instance believes them to be slow, sends prompts another way, and so hears nothing of transfers.

use std::ops::Range;

use plan::Prediction;
use relay::estimates::Estimates;

/// Time of a transfer on links at their usual speed, at engines of the usual speed, in ms.
const TRANSFER_MS: f64 = 40.0;

/// Time to the first event where no KV cache is transferred, in ms.
const OTHER_WAY_MS: f64 = 400.0;

/// Time of a transfer while links are slow, in ms: longer ones are not started by engines.
const SLOW_MS: f64 = 1_500.0;

/// Speeds of engines: how many times longer than the usual each step takes.
const SLOWNESS: [f64; 3] = [1.0, 2.2, 5.0];

/// Times between two requests of an instance, in ms.
const PAUSES_MS: [u64; 2] = [55, 300];

/// A request of which the first event has come.
#[derive(Debug, Clone, Copy)]
struct Started {
    sent_ms: u64,
    took_ms: f64,
    is_transferred: bool,
}

/// Times to the first event of all requests that come by `end_ms`, where transfers sent in `slow` take longer.
fn replay(slowness: f64, pause_ms: u64, slow: Range<u64>, end_ms: u64) -> Vec<Started> {
    let estimates = Estimates::default();
    let mut under_way: Vec<(Prediction, Started)> = Vec::new();
    let mut all = Vec::new();
    for now_ms in 0..end_ms {
        let has_come =
            |(_, each): &mut (Prediction, Started)| each.sent_ms + each.took_ms as u64 <= now_ms;
        for (first, started) in under_way.extract_if(.., has_come) {
            estimates.observe_first_event(now_ms, "llm", &first, true, started.took_ms);
        }
        if now_ms % pause_ms != 0 {
            continue;
        }
        let other_way_ms = OTHER_WAY_MS * slowness;
        let is_transferred = estimates.latency_model(now_ms, "llm").kv_transfer_ms() < other_way_ms;
        let mut started = Started {
            sent_ms: now_ms,
            took_ms: other_way_ms,
            is_transferred,
        };
        if is_transferred {
            estimates.begin_transfer(now_ms, "llm");
            let is_slow = slow.contains(&now_ms);
            started.took_ms = if is_slow { SLOW_MS } else { TRANSFER_MS } * slowness;
            let first = Prediction {
                processing_ms: estimates.latency_model(now_ms, "llm").kv_transfer_ms(),
                ..Prediction::default()
            };
            under_way.push((first, started));
        }
        all.push(started);
    }
    all
}

/// Mean time to the first event of the requests sent in a time.
fn mean_ms(all: &[Started], sent: Range<u64>) -> f64 {
    let within = all.iter().filter(|each| sent.contains(&each.sent_ms));
    let times: Vec<f64> = within.map(|each| each.took_ms).collect();
    times.iter().sum::<f64>() / times.len() as f64
}

/// Guards against callers who wait longer than on a calm day for many seconds after transfers have become fast again.
#[test]
fn callers_wait_as_on_a_calm_day_three_seconds_after_slow_transfers() {
    for slowness in SLOWNESS {
        for pause_ms in PAUSES_MS {
            let calm = replay(slowness, pause_ms, 0..0, 18_000);
            let disturbed = replay(slowness, pause_ms, 3_000..12_000, 18_000);
            let [calm_ms, disturbed_ms] =
                [calm, disturbed].map(|all| mean_ms(&all, 15_000..18_000));
            assert!(
                disturbed_ms < 1.1 * calm_ms,
                "engines {slowness} times slower, a request each {pause_ms} ms: {disturbed_ms:.0} ms, calm {calm_ms:.0} ms"
            );
        }
    }
}

/// Guards against a way back that forgets what holds: where transfers stay slow, hardly any request is sent that way.
#[test]
fn transfers_that_stay_slow_are_hardly_tried() {
    for slowness in SLOWNESS {
        for pause_ms in PAUSES_MS {
            let all = replay(slowness, pause_ms, 3_000..u64::MAX, 63_000);
            let lasting = all.iter().filter(|each| each.sent_ms >= 13_000);
            let tried = lasting.filter(|each| each.is_transferred).count();
            assert!(
                tried <= 21,
                "engines {slowness} times slower, a request each {pause_ms} ms: {tried} in 50 s"
            );
        }
    }
}
