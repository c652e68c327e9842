//! Whether the process behind a connection to an engine is the incarnation that the list names.
//!
//! The load that it answers: an engine crashes and is back at its address and id within some tens of ms with another
//! version, which the list names a second later. A stream that it begins must not be taken for one of the listed version.
//! An engine that is asked tells at once, but a question costs a connection, and at hundreds of instances most streams
//! begin on a first connection. So an engine is asked only where something speaks against the list; what no instance
//! has seen is not believed before news of it would have come. See docs/design/stream-versions.md.

/// Time after which the list names an incarnation that has started, in ms, while the store takes what upstreams write.
pub const REGISTERED_MS: u64 = 1_000;

/// Time after which the entry of an upstream that ended is gone from the list, in ms: some intervals of its reports.
pub const ENTRY_LAPSES_MS: u64 = 5_000;

/// Time after which all instances know that one of them lost an answer, in ms: three hops, at each of which the last of
/// three datagrams arrives.
pub const TOLD_MS: u64 = 500;

/// What an instance knows of an engine's process and of the list that names it. All times are of its own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessEvidence {
    /// Since when the process is known to run.
    pub process_since_ms: u64,
    /// When the engine last said that it is the listed incarnation.
    pub confirmed_ms: Option<u64>,
    /// When an answer or a connection to it was last lost, here or at another instance.
    pub lost_ms: Option<u64>,
    /// Time as of which the list is known; none if it was never read.
    pub listed_ms: Option<u64>,
    /// Whether upstreams have been able to register for a while.
    pub is_list_settled: bool,
    /// Since when this instance knows of all losses, by its own sight and others' word, while the list was settled.
    pub knows_losses_since_ms: u64,
}

/// What follows for the version of a stream that the process began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessStep {
    /// It is the listed incarnation.
    Listed,
    /// It is not known yet, and will be without a question.
    Wait,
    /// The engine has to be asked.
    Ask,
}

/// Decides whether the process of an engine is the listed incarnation.
///
/// An entry that is still listed [`ENTRY_LAPSES_MS`] after some time is of an engine that lived at that time. If this
/// instance knows of all losses since then and heard of none, the engine has not ended, and neither has it once the
/// news of an end just before the connection would have come.
pub fn process_step(now_ms: u64, evidence: &ProcessEvidence) -> ProcessStep {
    let since_ms = evidence.process_since_ms;
    let Some(listed_ms) = evidence.listed_ms else {
        // A list that was never read is taken as it is.
        return ProcessStep::Listed;
    };
    if evidence.confirmed_ms >= Some(since_ms) {
        return ProcessStep::Listed;
    }
    if !evidence.is_list_settled {
        return ProcessStep::Ask;
    }
    if listed_ms >= since_ms + REGISTERED_MS {
        return ProcessStep::Listed;
    }
    let lived_since = |at_ms: u64| listed_ms >= at_ms + ENTRY_LAPSES_MS;
    let is_lost = evidence
        .lost_ms
        .is_some_and(|lost_ms| evidence.confirmed_ms <= Some(lost_ms) && !lived_since(lost_ms));
    if is_lost || !lived_since(evidence.knows_losses_since_ms) {
        return ProcessStep::Ask;
    }
    if now_ms < since_ms + TOLD_MS {
        return ProcessStep::Wait;
    }
    ProcessStep::Listed
}
