//! Prompt parts of answers that this instance lost, until it is known whether their upstreams have ended.

use std::cmp::Reverse;
use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{PartKey, UpstreamKey};

/// How long a loss is remembered, in ms: longer than it takes to find out whether an upstream has ended.
const LOSS_MS: u64 = 10_000;

/// Most parts of lost answers that are remembered: the answers of a dozen upstreams that end at once.
const MAX_LOST_PARTS: usize = 512;

/// How far an answer had come when it was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum AnswerProgress {
    /// Nothing that writes an answer was sent. A prefill alone harms nobody.
    #[default]
    NotSent,
    /// It was sent, and no head has come: it may still have waited in a queue.
    Waiting,
    /// The head came and no event: the upstream had just begun to write.
    Begun,
    /// One event came.
    FirstEvent,
    /// A second event came, or the answer ended whole.
    WentOn,
}

impl AnswerProgress {
    /// The state once this many events have come.
    #[must_use]
    pub fn after_events(self, events: u32) -> Self {
        match (self, events) {
            (Self::WentOn, _) | (_, 2..) => Self::WentOn,
            (_, 1) => Self::FirstEvent,
            (before, 0) => before,
        }
    }

    /// How strongly the end of its upstream speaks against the parts of its prompt; none if not at all.
    pub fn suspicion(self) -> Option<Suspicion> {
        match self {
            Self::NotSent | Self::WentOn => None,
            Self::Waiting | Self::FirstEvent => Some(Suspicion::Weak),
            Self::Begun => Some(Suspicion::Strong),
        }
    }
}

/// How strongly the end of an upstream speaks against a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Suspicion {
    /// The answer may not have begun, or had come further than such answers do.
    Weak,
    /// The upstream had just begun to write.
    Strong,
}

impl Suspicion {
    /// Its weight.
    pub fn points(self) -> usize {
        match self {
            Self::Weak => 1,
            Self::Strong => 2,
        }
    }
}

/// A part of a lost answer's prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostPart {
    /// The part.
    pub part: PartKey,
    /// What the loss says against it, should the upstream have ended.
    pub suspicion: Suspicion,
}

#[derive(Debug, Clone, Copy)]
struct Loss {
    at_ms: u64,
    upstream: UpstreamKey,
    lost: LostPart,
}

/// The losses of this instance.
#[derive(Debug, Default)]
pub struct PartLosses {
    losses: VecDeque<Loss>,
}

impl PartLosses {
    /// Records that an answer was lost with its connection.
    pub fn record(&mut self, now_ms: u64, upstream: UpstreamKey, lost: LostPart) {
        while self
            .losses
            .front()
            .is_some_and(|loss| now_ms >= loss.at_ms + LOSS_MS)
        {
            self.losses.pop_front();
        }
        if self.losses.len() >= MAX_LOST_PARTS {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss {
            at_ms: now_ms,
            upstream,
            lost,
        });
    }

    /// Forgets the losses at an upstream and returns them, those that say most first, each part once.
    pub fn take(&mut self, now_ms: u64, upstream: UpstreamKey) -> Vec<LostPart> {
        let mut taken: Vec<LostPart> = Vec::new();
        self.losses.retain(|loss| {
            let is_taken = loss.upstream == upstream;
            if is_taken && now_ms < loss.at_ms + LOSS_MS {
                taken.push(loss.lost);
            }
            !is_taken
        });
        taken.sort_by_key(|lost| (Reverse(lost.suspicion), lost.part));
        let mut seen = HashSet::new();
        taken.retain(|lost| seen.insert(lost.part));
        taken
    }
}
