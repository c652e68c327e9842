//! Work of reading prompts that an engine has, by rank.

use serde::{Deserialize, Serialize};

/// Ranks that engines know; 0 goes first.
pub const RANKS: usize = 10;

/// Tokens still to be read, by the rank at which they wait.
///
/// An engine takes up the first rank first, so a short urgent question does not wait for the long
/// prompts behind which it would seem to stand.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Queue([f64; RANKS]);

impl Queue {
    /// Adds tokens at a rank, or takes them away again.
    pub fn add(&mut self, rank: u8, tokens: f64) {
        let at = usize::from(rank).min(RANKS - 1);
        self.0[at] = (self.0[at] + tokens).max(0.0);
    }

    /// Adds another queue to this one.
    #[must_use]
    pub fn and(mut self, other: &Self) -> Self {
        for (own, others) in self.0.iter_mut().zip(&other.0) {
            *own += others;
        }
        self
    }

    /// Tokens that are read before something new of a rank.
    pub fn before(&self, rank: u8) -> f64 {
        self.0[..=usize::from(rank).min(RANKS - 1)].iter().sum()
    }

    /// Tokens of later ranks, one prompt of which may be being read by now.
    pub fn after(&self, rank: u8) -> f64 {
        self.total() - self.before(rank)
    }

    /// All tokens.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// The queue in whole tokens, which is shorter to write.
    #[must_use]
    pub fn rounded(&self) -> Self {
        Self(self.0.map(f64::round))
    }
}
