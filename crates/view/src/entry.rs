//! Entries of the list of upstreams.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Which part of a generation an upstream runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Stage {
    /// All of it, or no generation at all.
    #[default]
    Whole,
    /// It processes prompts.
    Prefill,
    /// It generates output, and processes prompts as well if it has to.
    Decode,
}

/// Whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It may get new work.
    #[default]
    Ready,
    /// It has announced that it leaves, and gets no new work.
    Leaving,
}

/// An upstream as the list of upstreams describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name. It may stay the same or change when the upstream restarts.
    pub id: String,
    /// Start of the incarnation by the upstream's own clock, in ms since 1970; 0 if unknown.
    /// Compared only with entries of the same id.
    #[serde(default)]
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Name of the service that it runs.
    pub service: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it may get new work.
    #[serde(rename = "standing")]
    pub state: UpstreamState,
    /// Part of a generation that it runs.
    pub stage: Stage,
    /// Sequence number; grows with each entry that the incarnation writes.
    pub seq: u64,
    /// Version of the upstream's software, empty if it names none. What two versions write does not fit together.
    #[serde(default)]
    pub version: String,
    /// Whether it runs on spot capacity, which costs less and may be reclaimed at short notice.
    #[serde(default)]
    pub is_spot: bool,
}

/// A change to the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// Adds or replaces the entry of an upstream.
    Put(UpstreamEntry),
    /// Removes the entry of the upstream with this id.
    Gone(String),
}
