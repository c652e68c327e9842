//! A request that is sent as the trial of what is held since upstreams ended under it.

use view::trials::CLAIM_MS;

use crate::call::Call;
use crate::relay::Relay;

/// What is held means for the next send of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendStep {
    /// It may be sent.
    Send,
    /// It waits for the outcome of a trial, or for its own to be known to the peers.
    Wait,
}

/// The trial that a request is, of a part of its prompt or of itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClaimedTrial<T> {
    pub(crate) trial: T,
    claimed_ms: u64,
    /// Sends of the request before that may have run.
    runs_before: u32,
}

impl<T> ClaimedTrial<T> {
    pub(crate) fn new(call: &Call, trial: T, claimed_ms: u64) -> Self {
        Self {
            trial,
            claimed_ms,
            runs_before: call.possible_runs.get(),
        }
    }

    /// Whether its one send is still to come.
    pub(crate) fn is_unused(&self, call: &Call) -> bool {
        call.possible_runs.get() <= self.runs_before
    }

    /// A claim has to reach the peers before its request is sent.
    pub(crate) fn step(&self, relay: &Relay) -> SendStep {
        if relay.has_senders() && relay.now_ms() < self.claimed_ms + CLAIM_MS {
            SendStep::Wait
        } else {
            SendStep::Send
        }
    }
}
