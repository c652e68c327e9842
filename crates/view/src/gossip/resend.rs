//! Items that are sent in several consecutive datagrams, so that a lost one does not matter.

use std::collections::VecDeque;

/// Datagrams that carry each item. With a tenth of them lost, one instance in a thousand misses it.
const SENDS_PER_ITEM: u8 = 3;

/// Most items in one datagram, about 15 bytes each. The evidence of hundreds of engines that end at
/// once goes out within some tenths of a second and does not fill the slowest links.
const MAX_ITEMS_PER_MESSAGE: usize = 128;

/// Items to be sent, the longest waiting first.
#[derive(Debug)]
pub struct ResendQueue<T> {
    waiting: VecDeque<(T, u8)>,
}

impl<T> Default for ResendQueue<T> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
        }
    }
}

impl<T: Copy> ResendQueue<T> {
    /// Queues an item.
    pub fn add(&mut self, item: T) {
        self.waiting.push_back((item, SENDS_PER_ITEM));
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops all items, where there is no receiver left.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// The items for the next datagram.
    pub fn next_batch(&mut self) -> Vec<T> {
        let count = self.waiting.len().min(MAX_ITEMS_PER_MESSAGE);
        let batch: Vec<(T, u8)> = self.waiting.drain(..count).collect();
        let remaining = batch.iter().filter(|(_, sends_left)| *sends_left > 1);
        self.waiting
            .extend(remaining.map(|(item, sends_left)| (*item, sends_left - 1)));
        batch.into_iter().map(|(item, _)| item).collect()
    }
}
