//! Changes to the list of upstreams, as instances gossip them.
//!
//! Half of two hundred upstreams may be replaced within half a minute. If each of three hundred
//! instances read each change from the store, those calls would cost more than all others. So a
//! change is gossiped with its offset in the log and that of the change before it. An instance that
//! has applied the one before applies it and knows as much as the reader; one that missed a change
//! asks a peer for the full list.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ListChange;

/// How long a change is resent, in ms: several datagrams, so that a lost one does not matter.
const RESEND_MS: u64 = 400;

/// Most changes in one datagram. An instance that missed more asks for the full list.
const MAX_PER_MESSAGE: usize = 64;

/// A change and its place in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedChange {
    /// Offset after the change before it.
    #[serde(rename = "before")]
    pub previous_offset: u64,
    /// Offset after this change.
    #[serde(rename = "after")]
    pub offset: u64,
    /// The change itself.
    pub change: ListChange,
    /// How long the reader, which could not reach the store shortly before, treats a removed entry
    /// as unconfirmed, in ms: the entry may only have lapsed together with the store.
    #[serde(rename = "doubt_ms")]
    pub unconfirmed_ms: u32,
}

/// Recently learned changes, oldest first.
#[derive(Debug, Default)]
pub struct RecentChanges {
    recent: VecDeque<(u64, GossipedChange)>,
}

impl RecentChanges {
    /// Adds a change that was read or received.
    pub fn add(&mut self, now_ms: u64, change: GossipedChange) {
        self.recent.push_back((now_ms, change));
        if self.recent.len() > MAX_PER_MESSAGE {
            self.recent.pop_front();
        }
    }

    /// The changes for the next datagram.
    pub fn to_send(&mut self, now_ms: u64) -> Vec<GossipedChange> {
        let is_old = |at_ms: u64| now_ms >= at_ms + RESEND_MS;
        while self.recent.front().is_some_and(|(at_ms, _)| is_old(*at_ms)) {
            self.recent.pop_front();
        }
        self.recent
            .iter()
            .map(|(_, change)| change.clone())
            .collect()
    }
}
