//! Which engines of a service exchange their roles because the slow ones prefill.
//!
//! A prompt keeps a prefill engine busy and others wait behind it, so speed counts there; a decode
//! engine is bound by its slots. The number of engines in each role is left to `split`. See
//! docs/design/pace.md.

use crate::split::{DECODE_UTILIZATION, Demand, RoleSplit, max_changing};

/// Time for which an engine is assumed to keep a role, in ms: several of the intervals in which
/// the mix changes.
const ROLE_DURATION_MS: f64 = 60_000.0;

/// Time for which a change takes an engine away, in ms: 3 s for the change and as long for the
/// requests that it finishes before.
const AWAY_MS: f64 = 6_000.0;

/// Ratio of what a swap gains to what it costs below which it is not worth two orders.
const MIN_GAIN_RATIO: f64 = 1.25;

/// Number of a service's engines for each swap that may be in progress.
const ENGINES_PER_SWAP: usize = 24;

/// Utilization of the prefill engines below which none are swapped: a prompt then nearly always
/// finds a fast one free.
const MIN_PREFILL_UTILIZATION: f64 = 0.1;

/// Time after which a swap that is not complete is given up, in ms: several times the duration of
/// two changes.
const SWAP_TIMEOUT_MS: u64 = 60_000;

/// An engine that may be swapped, with the lasting factor by which work takes longer there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SwapEngine<'a> {
    /// Lasting factor; only engines of which it is known are swapped.
    pub lasting_factor: f64,
    /// Availability zone.
    pub zone: &'a str,
}

impl SwapEngine<'_> {
    fn speed(&self) -> f64 {
        1.0 / self.lasting_factor
    }
}

/// Two engines that exchange their roles, by their places in the lists of candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwapPair {
    /// The prefill engine that is to decode.
    pub slow: usize,
    /// The decode engine that is to prefill.
    pub fast: usize,
}

/// Mean speed of the engines in each role; 1 is the usual speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleSpeeds {
    /// Of the prefill engines.
    pub prefill: f64,
    /// Of the decode engines.
    pub decode: f64,
}

impl RoleSpeeds {
    /// Means of the speeds of all engines in each role; the usual speed for a role without an engine.
    pub fn of(prefill: &[f64], decode: &[f64]) -> Self {
        let mean = |speeds: &[f64]| match speeds {
            [] => 1.0,
            _ => speeds.iter().sum::<f64>() / speeds.len() as f64,
        };
        Self {
            prefill: mean(prefill),
            decode: mean(decode),
        }
    }
}

impl Demand {
    /// The demand, given in engines of usual speed, in engines of the speeds that there are.
    #[must_use]
    pub fn at_speeds(&self, speeds: &RoleSpeeds) -> Self {
        Self {
            prefill: self.prefill / speeds.prefill,
            decode: self.decode / speeds.decode,
        }
    }
}

/// Chooses the pairs to swap now: the slowest prefill engines against the fastest decode engines,
/// of equally fast ones preferably in the same zone.
///
/// `demand` is in engines of the speeds that there are, `split` counts the engines as they will be
/// when the `pending` swaps are complete. The decode engines that are left must bear their load
/// while the engines of all swaps are away.
pub fn swap_pairs(
    prefill: &[SwapEngine<'_>],
    decode: &[SwapEngine<'_>],
    demand: &Demand,
    split: &RoleSplit,
    pending: usize,
) -> Vec<SwapPair> {
    let engines = split.prefill + split.decode;
    if demand.prefill < split.prefill as f64 * MIN_PREFILL_UTILIZATION {
        return Vec::new();
    }
    let needed_decode = (demand.decode / DECODE_UTILIZATION).ceil() as usize;
    let count = (engines / ENGINES_PER_SWAP)
        .max(1)
        .saturating_sub(pending)
        .min(max_changing(engines).saturating_sub(split.changing))
        .min(split.decode.saturating_sub(needed_decode.max(1) + pending));
    let mut slow: Vec<usize> = (0..prefill.len()).collect();
    slow.sort_by(|a, b| {
        let factor = |at: &usize| prefill[*at].lasting_factor;
        factor(b).total_cmp(&factor(a))
    });
    let mut fast: Vec<usize> = (0..decode.len()).collect();
    let mut pairs = Vec::new();
    for slow in slow.into_iter().take(count) {
        let best = fast.iter().enumerate().min_by(|(_, a), (_, b)| {
            let class = |at: &usize| crate::speed_class(decode[*at].lasting_factor);
            let is_elsewhere = |at: &usize| decode[*at].zone != prefill[slow].zone;
            (class(a), is_elsewhere(a)).cmp(&(class(b), is_elsewhere(b)))
        });
        let Some((place, &best)) = best else {
            break;
        };
        if !is_worthwhile(&prefill[slow], &decode[best]) {
            break;
        }
        fast.remove(place);
        pairs.push(SwapPair { slow, fast: best });
    }
    pairs
}

/// Whether the speed that prefill gains for the duration of a role exceeds by enough what both
/// engines do not do while they are away.
fn is_worthwhile(slow: &SwapEngine<'_>, fast: &SwapEngine<'_>) -> bool {
    let gain = (fast.speed() - slow.speed()) * ROLE_DURATION_MS;
    let loss = (fast.speed() + slow.speed()) * AWAY_MS;
    gain >= loss * MIN_GAIN_RATIO
}

/// How far a swap is: where the fast engine is that is to prefill, or the slow one that is to decode.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapProgress {
    /// It has its former role and no change is pending.
    Unchanged,
    /// It is changing, or not among the ready engines for the moment.
    Away,
    /// It has its new role.
    Changed,
}

/// What to do about a swap that was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwapStep {
    /// Neither engine is to be ordered now.
    Wait,
    /// The fast engine prefills: the slow one is to decode.
    OrderSlow,
    /// It is complete, or given up; what there is of it stays.
    End,
}

/// The next step of a swap that began `age_ms` ago. The fast engine changes first, so that prefill
/// never has less than before; if it is needed there besides the slow one, the slow one stays.
pub fn swap_step(
    age_ms: u64,
    fast: SwapProgress,
    slow: SwapProgress,
    is_more_prefill_wanted: bool,
) -> SwapStep {
    if age_ms >= SWAP_TIMEOUT_MS {
        return SwapStep::End;
    }
    match (fast, slow) {
        (_, SwapProgress::Changed) | (SwapProgress::Unchanged, _) => SwapStep::End,
        (_, SwapProgress::Unchanged) if is_more_prefill_wanted => SwapStep::End,
        (SwapProgress::Changed, SwapProgress::Unchanged) => SwapStep::OrderSlow,
        (_, SwapProgress::Away) | (SwapProgress::Away, SwapProgress::Unchanged) => SwapStep::Wait,
    }
}
