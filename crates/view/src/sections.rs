//! Optional sections at the end of a datagram.
//!
//! A section without content takes no bytes, and an instance that does not know one ignores it. So
//! a part of gossip that only some deployments use costs the others nothing.

use serde::{Deserialize, Serialize};

use crate::{EngineTimeTally, GossipMessage, MessageError, PaceReport, RequestKey, TrialNews};

/// A section; its number in the wire format is its position here.
#[derive(Serialize, Deserialize)]
enum Section {
    /// Engine time of workspaces.
    EngineTimes(Vec<EngineTimeTally>),
    /// What is known of the pace of upstreams.
    Paces(Vec<PaceReport>),
    /// Trials of requests under which upstreams ended.
    Trials(Vec<TrialNews>),
    /// Numbers of such trials so far.
    TrialCounts(Vec<(RequestKey, u8)>),
}

/// The sections that a datagram needs.
#[derive(Default)]
pub struct Sections(Vec<Section>);

impl Sections {
    /// Takes the content of all sections out of a message.
    pub fn take(message: &mut GossipMessage) -> Self {
        let engine_times = std::mem::take(&mut message.engine_times);
        let mut sections = Vec::new();
        if !engine_times.is_empty() {
            sections.push(Section::EngineTimes(engine_times));
        }
        let paces = std::mem::take(&mut message.paces);
        if !paces.is_empty() {
            sections.push(Section::Paces(paces));
        }
        let trials = std::mem::take(&mut message.trials);
        if !trials.is_empty() {
            sections.push(Section::Trials(trials));
        }
        let trial_counts = std::mem::take(&mut message.trial_counts);
        if !trial_counts.is_empty() {
            sections.push(Section::TrialCounts(trial_counts));
        }
        Self(sections)
    }

    /// Appends the sections to an encoded datagram.
    pub fn append_to(&self, mut bytes: Vec<u8>) -> Result<Vec<u8>, MessageError> {
        for section in &self.0 {
            bytes = postcard::to_extend(section, bytes).map_err(MessageError::Malformed)?;
        }
        Ok(bytes)
    }

    /// Reads sections until the end of a datagram or the first one that this process does not know.
    pub fn read(mut bytes: &[u8]) -> Self {
        let mut sections = Vec::new();
        while let Ok((section, rest)) = postcard::take_from_bytes(bytes) {
            sections.push(section);
            bytes = rest;
        }
        Self(sections)
    }

    /// Puts the content into a message.
    pub fn put_into(self, message: &mut GossipMessage) {
        for section in self.0 {
            match section {
                Section::EngineTimes(tallies) => message.engine_times.extend(tallies),
                Section::Paces(paces) => message.paces.extend(paces),
                Section::Trials(trials) => message.trials.extend(trials),
                Section::TrialCounts(counts) => message.trial_counts.extend(counts),
            }
        }
    }
}
