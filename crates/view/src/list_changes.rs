//! Changes of the list of upstreams on their way through the instances.
//!
//! Load pattern: half of two hundred upstreams are replaced within half a minute. If each of three
//! hundred instances read each change from the store, their calls would cost more than all else. So a
//! change travels with the place where it stands in the log and the place of the one before it. Who
//! knows all up to the one before takes it in and knows as much as its reader; who missed one
//! asks another instance for the whole list.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::ListChange;

/// Time for which a change is told on, in ms: several datagrams, so that lost ones do not show.
const TOLD_MS: u64 = 400;

/// Most changes that are told in one datagram; who lacks more asks for the whole list.
const MOST: usize = 64;

/// A change, and where it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipedChange {
    /// Offset after the last change before it.
    #[serde(rename = "before")]
    pub previous_offset: u64,
    /// Offset after it.
    #[serde(rename = "after")]
    pub offset: u64,
    /// What it says.
    pub change: ListChange,
    /// Time for which its reader, which could not reach the store shortly before, took an entry that goes for
    /// one that lapsed with the store, in ms.
    #[serde(rename = "doubt_ms")]
    pub unconfirmed_ms: u32,
}

/// Changes that were learned lately, oldest first.
#[derive(Debug, Default)]
pub struct RecentChanges {
    recent: VecDeque<(u64, GossipedChange)>,
}

impl RecentChanges {
    /// A change was read or heard of.
    pub fn add(&mut self, now_ms: u64, news: GossipedChange) {
        self.recent.push_back((now_ms, news));
        if self.recent.len() > MOST {
            self.recent.pop_front();
        }
    }

    /// What is to be told now.
    pub fn to_send(&mut self, now_ms: u64) -> Vec<GossipedChange> {
        let is_old = |at_ms: u64| now_ms >= at_ms + TOLD_MS;
        while self.recent.front().is_some_and(|(at_ms, _)| is_old(*at_ms)) {
            self.recent.pop_front();
        }
        self.recent.iter().map(|(_, news)| news.clone()).collect()
    }
}
