//! Tells a queue of waiting requests that requests of this instance have ended at an upstream.

use std::cell::Cell;

use tokio::sync::Notify;

/// Places that requests of this instance have freed, and the signal that wakes whoever gives them away.
#[derive(Default)]
pub struct FreedPlaces {
    count: Cell<u32>,
    changed: Notify,
}

impl FreedPlaces {
    /// Adds a place and wakes the queue.
    pub fn note_freed(&self) {
        self.count.set(self.count.get().saturating_add(1));
        self.wake();
    }

    /// Wakes the queue: room may have changed otherwise.
    pub fn wake(&self) {
        self.changed.notify_one();
    }

    /// Takes the places that were freed since the last call.
    pub fn take(&self) -> u32 {
        self.count.take()
    }

    /// Completes once room may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
