//! Events in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Parts of a ms that times are counted in.
const PARTS: f64 = 1_000.0;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    at_us: u64,
    number: u64,
    place: usize,
}

/// A queue of events, those of the same time in the order in which they were added.
#[derive(Debug)]
pub(crate) struct Calendar<E> {
    keys: BinaryHeap<Reverse<Key>>,
    events: Vec<Option<E>>,
    free: Vec<usize>,
    number: u64,
}

impl<E> Calendar<E> {
    pub(crate) fn new() -> Self {
        Self {
            keys: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            number: 0,
        }
    }

    pub(crate) fn add(&mut self, at_ms: f64, event: E) {
        let place = self.free.pop().unwrap_or(self.events.len());
        if place == self.events.len() {
            self.events.push(Some(event));
        } else {
            self.events[place] = Some(event);
        }
        self.number += 1;
        self.keys.push(Reverse(Key {
            at_us: (at_ms.max(0.0) * PARTS) as u64,
            number: self.number,
            place,
        }));
    }

    pub(crate) fn next(&mut self) -> Option<(f64, E)> {
        let Reverse(key) = self.keys.pop()?;
        self.free.push(key.place);
        let event = self.events[key.place].take()?;
        Some((key.at_us as f64 / PARTS, event))
    }
}
