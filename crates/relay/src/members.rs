//! The instances of the system, from the heartbeats that each writes.
//!
//! Each instance writes one small record a period and reads those of all, so the cost grows with
//! their number and not with its square. See docs/design/platform.md.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cadence::beat_ms;

/// Time in which an instance tells each other one something, in ms, if it is one of few; with
/// more of them it takes as many times longer as there are groups that it tells in turn.
const TELLS_MS: u64 = 800;

/// Readings after a process's start that follow each other fast, since instances that start together
/// are not in the list yet that each reads first.
const FIRST_READS: u32 = 3;
/// Pause between those, in ms: instances start within some tenths of a second of each other.
const FIRST_REST_MS: u64 = 500;

/// Heartbeats that may be missed before an instance is no longer handed out.
const MISSED: u64 = 3;

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where other instances tell it of their load.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes callers.
    pub ready: bool,
    /// Grows with each heartbeat of one process.
    pub beat: u64,
}

#[derive(Debug, Clone)]
struct Heard {
    member: Member,
    at_ms: u64,
    told_ms: Option<u64>,
}

/// All instances that were heard of.
#[derive(Debug, Clone, Default)]
pub struct Members {
    heard: HashMap<String, Heard>,
    read_ms: u64,
    reads: u32,
}

impl Members {
    /// Heartbeats were read at `now_ms`; none may have come.
    pub fn read(&mut self, now_ms: u64) {
        self.read_ms = now_ms;
        self.reads = self.reads.saturating_add(1);
    }

    /// A heartbeat was read.
    pub fn heard(&mut self, now_ms: u64, member: Member) {
        let name = member.name.clone();
        let told_ms = self.heard.get(&name).and_then(|heard| heard.told_ms);
        let heard = Heard {
            member,
            at_ms: now_ms,
            told_ms,
        };
        self.heard.insert(name, heard);
    }

    /// Time between two heartbeats of an instance, in ms.
    pub fn beat_ms(&self) -> u64 {
        beat_ms(self.heard.len())
    }

    /// Time until the next heartbeat, in ms: short while this process knows few of the others, who may
    /// have started with it.
    pub fn rest_ms(&self) -> u64 {
        if self.reads < FIRST_READS {
            FIRST_REST_MS
        } else {
            self.beat_ms()
        }
    }

    /// Instances with a smaller name among those that take callers.
    pub fn rank(&self, name: &str) -> usize {
        self.ready()
            .filter(|member| member.name.as_str() < name)
            .count()
    }

    /// An instance told something over the network between instances.
    pub fn told(&mut self, now_ms: u64, name: &str) {
        if let Some(heard) = self.heard.get_mut(name) {
            heard.told_ms = Some(now_ms);
        }
    }

    /// Instances that may be handed out now: those that are ready and have not fallen silent.
    ///
    /// A killed or frozen instance stops telling at once, and its heartbeats are missed only
    /// seconds later; callers that were sent there meanwhile would lose a second each. If most
    /// have fallen silent it is this instance that hears nothing, and nobody is left out.
    pub fn reachable(&self, now_ms: u64, groups: u64) -> Vec<&Member> {
        let all: Vec<&Heard> = self.fresh().collect();
        let silent = |heard: &Heard| {
            let told_ms = heard.told_ms;
            told_ms.is_some_and(|told_ms| told_ms + TELLS_MS * groups.max(1) < now_ms)
        };
        let audible = all.iter().filter(|heard| !silent(heard));
        let audible: Vec<&Member> = audible.map(|heard| &heard.member).collect();
        if audible.len() * 2 < all.len() {
            return all.iter().map(|heard| &heard.member).collect();
        }
        audible
    }

    /// Time since the instance told something that has been silent for longest.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let told_ms = self.fresh().filter_map(|heard| heard.told_ms);
        told_ms.min().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Another instance knows of this one. It counts as heard of now only if it was not known:
    /// its own heartbeats say more.
    pub fn heard_from_another(&mut self, now_ms: u64, member: Member) {
        if !self.heard.contains_key(&member.name) {
            self.heard(now_ms, member);
        }
    }

    /// All that are known and not silent, to be told to another instance.
    pub fn all(&self) -> Vec<Member> {
        self.ready().cloned().collect()
    }

    /// Instances that take callers.
    ///
    /// Age is counted up to the last time that heartbeats could be read. While they cannot, all
    /// that lived keep being handed out, since the silence is the store's and not theirs.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.fresh().map(|heard| &heard.member)
    }

    fn fresh(&self) -> impl Iterator<Item = &Heard> {
        let oldest_ms = self.read_ms.saturating_sub(self.beat_ms() * MISSED);
        let fresh = move |heard: &&Heard| heard.at_ms >= oldest_ms && heard.member.ready;
        self.heard.values().filter(fresh)
    }

    /// Whether any instance, this one included, has been read.
    pub fn is_known(&self) -> bool {
        !self.heard.is_empty()
    }

    /// Number of instances among which shared bounds are split; one at least.
    pub fn count(&self) -> usize {
        self.ready().count().max(1)
    }

    /// Forgets instances that have been silent for long.
    pub fn forget_silent(&mut self) {
        let oldest_ms = self.read_ms.saturating_sub(10 * self.beat_ms() * MISSED);
        self.heard.retain(|_, heard| heard.at_ms >= oldest_ms);
    }
}
