//! Prompt tokens that wait for prefill at an engine, by rank.

/// Number of ranks that engines know; rank 0 goes first.
pub const RANKS: usize = 10;

/// Tokens that wait for prefill, by the rank of their requests.
///
/// An engine processes the lowest rank first, so a short urgent prompt does not wait for the long
/// prompts that were queued before it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillQueue([f64; RANKS]);

impl PrefillQueue {
    /// Adds tokens at a rank, or removes them if `tokens` is negative. A rank never falls below
    /// zero.
    pub fn add(&mut self, rank: u8, tokens: f64) {
        let waiting = &mut self.0[index(rank)];
        *waiting = (*waiting + tokens).max(0.0);
    }

    /// The sum of two queues.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        for (own, other_tokens) in self.0.iter_mut().zip(&other.0) {
            *own += other_tokens;
        }
        self
    }

    /// Subtracts a queue that was added before.
    #[must_use]
    pub fn minus(mut self, other: &Self) -> Self {
        for (own, other_tokens) in self.0.iter_mut().zip(&other.0) {
            *own = (*own - other_tokens).max(0.0);
        }
        self
    }

    /// The queue in whole tokens, as datagrams carry it.
    #[must_use]
    pub fn rounded(&self) -> Self {
        Self(self.0.map(f64::round))
    }

    /// Tokens at one rank.
    pub fn at(&self, rank: u8) -> f64 {
        self.0[index(rank)]
    }

    /// Tokens that are processed before a new prompt of this rank: those at the rank and at lower
    /// ones.
    pub fn tokens_up_to(&self, rank: u8) -> f64 {
        self.0[..=index(rank)].iter().sum()
    }

    /// Tokens at higher ranks. One of these prompts may already be in prefill.
    pub fn tokens_after(&self, rank: u8) -> f64 {
        self.total() - self.tokens_up_to(rank)
    }

    /// Tokens at all ranks.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }
}

impl FromIterator<(u8, u32)> for PrefillQueue {
    fn from_iter<I: IntoIterator<Item = (u8, u32)>>(all: I) -> Self {
        let mut queue = Self::default();
        for (rank, tokens) in all {
            queue.add(rank, f64::from(tokens));
        }
        queue
    }
}

fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
