//! The instances of the system: who there is, and who was heard of lately.
//!
//! Each writes a small record to the store when it starts or its state changes, and seldom besides, by
//! which the others learn that it exists and where. That it lives shows in what instances tell each
//! other, within two seconds at any size. See docs/design/views.md.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceKey;

/// Time without word of an instance, while there is word of others, after which it counts as silent, in
/// ms: two lists of those that live, or two datagrams of an idle instance, and a lost one.
const SILENT_MS: u64 = 800;

/// Time without word of anybody after which this instance must be the one that hears nothing, in ms: it has
/// turned to another hub by then.
const DEAF_MS: u64 = 1_200;

/// Time for which an instance that is told of may be unknown before others are asked, in ms: its own
/// record is told for as long.
const MISSING_MS: u64 = 1_000;

/// Time between two records of an instance among few, in ms; who falls silent shows earlier in what
/// instances tell each other, and who comes or leaves writes at once.
const BEAT_MS: u64 = 10_000;

/// Instances that write records at that pace; more of them write as many a second together.
const AT_FULL_PACE: u64 = 8;

/// Records that may be missed before an instance is no longer counted.
const MISSED: u64 = 3;

/// Records that may be missed before an instance is forgotten.
const FORGOTTEN: u64 = 10 * MISSED;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances tell it what they have.
    #[serde(default)]
    #[serde(rename = "peer")]
    pub gossip_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Grows with each record of the instance, also through restarts.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// Speed of its link.
    #[serde(default)]
    pub link_mbps: u32,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When its record was read.
    at_ms: u64,
    /// When it was last told that it lives.
    told_ms: Option<u64>,
}

/// All instances that were heard of.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: HashMap<InstanceKey, Known>,
    read_ms: u64,
    heard_ms: Option<u64>,
    unknown_since_ms: Option<u64>,
    version: u64,
}

impl Members {
    /// Records were read at `now_ms`; none may have come.
    pub fn record_store_read(&mut self, now_ms: u64) {
        self.read_ms = now_ms;
    }

    /// A record was read. One that was written before what is known already changes nothing: records
    /// and what instances tell each other overtake each other.
    pub fn record_heartbeat(&mut self, now_ms: u64, member: Member) {
        let key = InstanceKey::of(&member.name);
        let known = self.known.get(&key);
        if known.is_some_and(|known| known.member.heartbeat_seq > member.heartbeat_seq) {
            return;
        }
        let told_ms = known.and_then(|known| known.told_ms);
        self.unknown_since_ms = None;
        self.version += 1;
        let known = Known {
            member,
            at_ms: now_ms,
            told_ms,
        };
        self.known.insert(key, known);
    }

    /// Another instance knows of this one; gives whether that is news.
    ///
    /// Only what was said later is: were anything different taken for news, two sayings on their way
    /// through the instances would follow each other for good.
    pub fn receive_heartbeat(&mut self, now_ms: u64, member: &Member) -> bool {
        let is_news = self
            .heartbeat_seq(&member.name)
            .is_none_or(|beat| beat < member.heartbeat_seq);
        if is_news {
            self.record_heartbeat(now_ms, member.clone());
        }
        is_news
    }

    /// Grows with each record that is taken in.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The latest record of an instance that is known.
    pub fn heartbeat_seq(&self, name: &str) -> Option<u64> {
        let known = self.known.get(&InstanceKey::of(name))?;
        Some(known.member.heartbeat_seq)
    }

    /// An instance lives, by its own word or a hub's.
    pub fn record_alive(&mut self, now_ms: u64, key: InstanceKey) {
        self.heard_ms = Some(now_ms);
        self.record_self_alive(now_ms, key);
    }

    /// An instance lives, as this one knows of itself: that says nothing of what it hears of others.
    pub fn record_self_alive(&mut self, now_ms: u64, key: InstanceKey) {
        match self.known.get_mut(&key) {
            Some(known) => known.told_ms = Some(now_ms),
            None => {
                self.unknown_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Whether somebody has been told of for a while whom this instance does not know; true once.
    pub fn take_unknown_member(&mut self, now_ms: u64) -> bool {
        let misses = self
            .unknown_since_ms
            .is_some_and(|at_ms| now_ms >= at_ms + MISSING_MS);
        if misses {
            self.unknown_since_ms = None;
        }
        misses
    }

    /// Whether this instance hears the others and knows all of whom they told.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        !self.is_isolated(now_ms) && self.unknown_since_ms.is_none()
    }

    /// Time between two records of an instance, in ms: all of them together write as many a second
    /// whatever their number.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        BEAT_MS * (self.known.len() as u64).max(AT_FULL_PACE) / AT_FULL_PACE
    }

    /// Whether nobody has told this instance anything for so long that it must be the one that hears
    /// nothing.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        self.heard_ms.is_none_or(|at_ms| at_ms + DEAF_MS < now_ms)
    }

    /// Instances that may be handed out now: those that are ready and have not fallen silent.
    ///
    /// A killed or frozen instance stops telling at once, and its records are missed only much
    /// later; callers that were sent there meanwhile would lose a second each. Silence is counted up to
    /// the last word of anybody: one that hears nobody leaves nobody out for it.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.audible().map(|known| &known.member)
    }

    fn audible(&self) -> impl Iterator<Item = &Known> {
        let heard_ms = self.heard_ms.unwrap_or_default();
        self.fresh().filter(move |known| !known.is_silent(heard_ms))
    }

    /// Time since somebody was told to live who has been silent for longest.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let told_ms = self.audible().filter_map(|known| known.told_ms);
        told_ms.min().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// All that are known and ready, to be told to another instance.
    pub fn snapshot(&self) -> Vec<Member> {
        self.ready().cloned().collect()
    }

    /// Instances that said they take callers, whether or not they still speak.
    ///
    /// Age is counted up to the last time that records could be read. While they cannot, all
    /// that lived keep being counted, since the silence is the store's and not theirs.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.fresh().map(|known| &known.member)
    }

    fn fresh(&self) -> impl Iterator<Item = &Known> {
        let oldest_ms = self
            .read_ms
            .saturating_sub(self.heartbeat_interval_ms() * MISSED);
        let is_fresh = move |known: &&Known| {
            let last_ms = known.told_ms.unwrap_or_default().max(known.at_ms);
            last_ms >= oldest_ms && known.member.ready
        };
        self.known.values().filter(is_fresh)
    }

    /// Whether any instance, this one included, has been read.
    pub fn has_members(&self) -> bool {
        !self.known.is_empty()
    }

    /// Number of instances that serve now, as far as is known; one at least.
    pub fn reachable_count(&self) -> usize {
        self.reachable().count().max(1)
    }

    /// Number of instances among which an allowance is split that none may exceed; one at least.
    ///
    /// All that are remembered have their part, whether they speak or not: one that is cut off from the others may still reach
    /// callers and upstreams, and one that was killed has used its part a moment ago.
    pub fn share_count(&self) -> usize {
        self.known.len().max(1)
    }

    /// Forgets instances that have been silent for long.
    pub fn forget_silent(&mut self) {
        let oldest_ms = self
            .read_ms
            .saturating_sub(self.heartbeat_interval_ms() * FORGOTTEN);
        self.known
            .retain(|_, known| known.at_ms.max(known.told_ms.unwrap_or_default()) >= oldest_ms);
    }
}

impl Known {
    /// Whether it has not been heard of for too long. Its record counts as a word of it, so that one
    /// which has just come is not taken for silent before others have told of it.
    fn is_silent(&self, heard_ms: u64) -> bool {
        let last_ms = self.told_ms.unwrap_or_default().max(self.at_ms);
        last_ms + SILENT_MS < heard_ms
    }
}
