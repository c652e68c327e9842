//! Which requests are refused at once for the share of their workspace.

use super::{Claim, FairLevels, MIN_GRANTED_MS, RoomSample};

/// Requests that wait at engines, relative to their slots, at which workspaces that request more
/// than their share get just that. Engines are never idle for the time of a round trip then.
const INTENDED_QUEUE: f64 = 0.6;

/// By how much of what a workspace gets the queue changes it, for each slot that waits more or less.
const QUEUE_GAIN: f64 = 1.0;

/// The same for each share that the workspace has exceeded or not reached. Use is known some hundred
/// ms late, so a high gain would make it swing.
const EXCESS_GAIN: f64 = 4.0;

/// Time to return for a workspace that requests its share, in ms. For one that requests several times as much it is
/// that much longer, since its callers get through that much less often.
const RETRY_MS: f64 = 150.0;

/// Longest time to return, in ms.
const MAX_RETRY_MS: f64 = 2_000.0;

/// What the decision on a request depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HoldBack {
    /// Whether room is short.
    pub is_short: bool,
    /// Present load of the engines.
    pub room: RoomSample,
    /// Use of the workspace.
    pub claim: Claim,
}

/// Time after which the caller of a request that is refused should return; none if the request is
/// not refused. `draw` is a random number from 0 to 1.
///
/// While all engines are full, a workspace that requests more than its share gets that fraction of its requests which
/// makes up its share. To refuse all of them until its use has fallen would make load swing, since
/// use and load are known late.
pub fn hold_back(state: &HoldBack, levels: &FairLevels, draw: f64) -> Option<f64> {
    let share_ms = levels.share_ms(&state.claim);
    let is_limited = state.claim.requested_ms > share_ms;
    if !state.is_short || !state.room.is_all_full() || !is_limited {
        return None;
    }
    let excess = levels.excess(&state.claim);
    let by_queue = 1.0 + QUEUE_GAIN * (INTENDED_QUEUE - state.room.queue());
    let by_excess = 1.0 - EXCESS_GAIN * excess;
    let passing = share_ms / state.claim.requested_ms * by_queue.max(0.0) * by_excess.max(0.0);
    if draw < passing {
        return None;
    }
    let oversubscription = state.claim.requested_ms / share_ms.max(MIN_GRANTED_MS);
    Some((RETRY_MS * oversubscription).clamp(RETRY_MS, MAX_RETRY_MS))
}
