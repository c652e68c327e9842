//! What is told in several datagrams in a row, so that a lost one does not show.

use std::collections::VecDeque;

/// Datagrams in which each is told: with a tenth of them lost, one instance in a thousand misses it.
const TIMES: u8 = 3;

/// Most that one datagram tells, some 15 bytes each. What hundreds of engines leave that end at once goes out in a
/// few tenths of a second, without filling the slowest links.
const MOST: usize = 128;

/// Things to be told, the longest waiting first.
#[derive(Debug)]
pub struct Repeated<T> {
    waiting: VecDeque<(T, u8)>,
}

impl<T> Default for Repeated<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<T: Copy> Repeated<T> {
    /// One more.
    pub fn add(&mut self, thing: T) {
        self.waiting.push_back((thing, TIMES));
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Nobody is left to be told.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// What goes into a datagram now.
    pub fn told(&mut self) -> Vec<T> {
        let count = self.waiting.len().min(MOST);
        let now: Vec<(T, u8)> = self.waiting.drain(..count).collect();
        let again = now.iter().filter(|(_, times)| *times > 1);
        self.waiting
            .extend(again.map(|(thing, times)| (*thing, times - 1)));
        now.into_iter().map(|(thing, _)| thing).collect()
    }
}
