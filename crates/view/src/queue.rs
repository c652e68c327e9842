//! Work of reading prompts that an engine has, by rank.

/// Ranks that engines know; 0 goes first.
pub const RANKS: usize = 10;

/// Tokens still to be read, by the rank at which they wait.
///
/// An engine takes up the first rank first, so a short urgent question does not wait for the long
/// prompts behind which it would seem to stand.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PrefillQueue([f64; RANKS]);

impl PrefillQueue {
    /// Adds tokens at a rank, or takes them away again.
    pub fn add(&mut self, rank: u8, tokens: f64) {
        let waiting = &mut self.0[index(rank)];
        *waiting = (*waiting + tokens).max(0.0);
    }

    /// Adds another queue to this one.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        for (own, others) in self.0.iter_mut().zip(&other.0) {
            *own += others;
        }
        self
    }

    /// Takes away what was added before.
    #[must_use]
    pub fn minus(mut self, other: &Self) -> Self {
        for (own, others) in self.0.iter_mut().zip(&other.0) {
            *own = (*own - others).max(0.0);
        }
        self
    }

    /// The same in whole tokens, as it goes over the wire.
    #[must_use]
    pub fn rounded(&self) -> Self {
        Self(self.0.map(f64::round))
    }

    /// Tokens at one rank.
    pub fn at(&self, rank: u8) -> f64 {
        self.0[index(rank)]
    }

    /// Tokens that are read before something new of a rank.
    pub fn tokens_up_to(&self, rank: u8) -> f64 {
        self.0[..=index(rank)].iter().sum()
    }

    /// Tokens of later ranks, one prompt of which may be being read by now.
    pub fn tokens_after(&self, rank: u8) -> f64 {
        self.total() - self.tokens_up_to(rank)
    }

    /// All tokens.
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
