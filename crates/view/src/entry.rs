//! An upstream as the list of upstreams describes it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What an upstream does of a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Stage {
    /// All of it, or no generation at all.
    #[default]
    Whole,
    /// It reads prompts.
    Prefill,
    /// It makes output, and reads prompts beside it if it has to.
    Decode,
}

/// Whether an upstream may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum UpstreamState {
    /// It may.
    #[default]
    Ready,
    /// It has said that it is leaving, and gets nothing new.
    Leaving,
}

/// An upstream as the list of upstreams describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name; a restart may have the same or another.
    pub id: String,
    /// When the incarnation started, by its own clock, in ms since 1970; 0 if it does not say. Only
    /// compared with that of the same id.
    #[serde(default)]
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it gets new work.
    #[serde(rename = "standing")]
    pub state: UpstreamState,
    /// What it does of a generation.
    pub stage: Stage,
    /// Grows with each entry that the incarnation writes.
    pub seq: u64,
    /// Whether it may be taken back at short notice, and costs less for it.
    #[serde(default)]
    pub is_spot: bool,
}

/// A change of the list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// An upstream is there, as described.
    Put(UpstreamEntry),
    /// An upstream's entry was taken away.
    Gone(String),
}
