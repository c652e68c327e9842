//! Event queue in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Resolution of event times: µs per ms.
const US_PER_MS: f64 = 1_000.0;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at_us: u64,
    sequence: u64,
    slot: usize,
}

/// Events by time; events of the same time keep the order in which they were added.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    keys: BinaryHeap<Reverse<EventKey>>,
    events: Vec<Option<E>>,
    free_slots: Vec<usize>,
    sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self {
            keys: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
            sequence: 0,
        }
    }

    pub(crate) fn add(&mut self, at_ms: f64, event: E) {
        let slot = self.free_slots.pop().unwrap_or(self.events.len());
        if slot == self.events.len() {
            self.events.push(Some(event));
        } else {
            self.events[slot] = Some(event);
        }
        self.sequence += 1;
        self.keys.push(Reverse(EventKey {
            at_us: (at_ms.max(0.0) * US_PER_MS) as u64,
            sequence: self.sequence,
            slot,
        }));
    }

    pub(crate) fn next(&mut self) -> Option<(f64, E)> {
        let Reverse(key) = self.keys.pop()?;
        self.free_slots.push(key.slot);
        let event = self.events[key.slot].take()?;
        Some((key.at_us as f64 / US_PER_MS, event))
    }
}
