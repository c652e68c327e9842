//! A request that is sent as the trial of what is held since upstreams ended under it.

use view::trials::CLAIM_MS;

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
    pub(crate) claimed_ms: u64,
    /// Sends of the request before that may have run.
    pub(crate) runs_before: u32,
}

impl<T> ClaimedTrial<T> {
    /// Whether its one send is still to come, after so many sends that may have run.
    pub(crate) fn is_unused(&self, runs: u32) -> bool {
        runs <= self.runs_before
    }

    /// A claim has to reach the peers, if there are any, before its request is sent.
    pub(crate) fn step(&self, now_ms: u64, has_peers: bool) -> SendStep {
        if has_peers && now_ms < self.claimed_ms + CLAIM_MS {
            SendStep::Wait
        } else {
            SendStep::Send
        }
    }
}
