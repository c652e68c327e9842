//! Trials of held parts, and what a failed one leaves.

use serde::{Deserialize, Serialize};

use crate::trials::pause_ms;
use crate::{InstanceKey, PartKey, UpstreamKey};

/// Time after which a trial no longer keeps others waiting, in ms.
const TRIAL_MS: u64 = 3_000;

/// The same for one whose answer was lost: it may take this long until it is known whether the upstream has ended.
const LOST_TRIAL_MS: u64 = 10_000;

/// A request with a held part that one instance sends to find out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Trial {
    /// The part.
    pub part: PartKey,
    /// The instance.
    pub instance: InstanceKey,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Conviction {
    pub(super) failed_trials: u8,
    /// When the part may be tried again; none if it is not. A sound part may have met several upstreams that ended for
    /// reasons of their own.
    next_trial_ms: Option<u64>,
}

impl Conviction {
    pub(super) fn new(now_ms: u64, failed_trials: u8) -> Self {
        Self {
            failed_trials,
            next_trial_ms: pause_ms(failed_trials).map(|pause_ms| now_ms + pause_ms),
        }
    }

    pub(super) fn may_be_tried(&self, now_ms: u64) -> bool {
        self.next_trial_ms.is_some_and(|at_ms| now_ms >= at_ms)
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct RunningTrial {
    pub(super) trial: Trial,
    pub(super) began_ms: u64,
    /// The upstream that lost its answer.
    pub(super) lost_at: Option<UpstreamKey>,
}

impl RunningTrial {
    pub(super) fn has_lapsed(&self, now_ms: u64) -> bool {
        let lapse_ms = match self.lost_at {
            Some(_) => LOST_TRIAL_MS,
            None => TRIAL_MS,
        };
        now_ms >= self.began_ms + lapse_ms
    }
}
