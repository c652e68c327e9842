//! Room at an upstream for requests that wait at this instance.

use std::rc::Rc;

use super::{FreedPlaces, ReportedLoad, Upstream};

impl Upstream {
    /// Requests for which it has room, by what this instance knows; none after a rejection, until it reports room or
    /// some time has passed.
    pub fn free_places(&self, now_ms: u64) -> f64 {
        if self.is_known_full(now_ms) {
            0.0
        } else {
            queue::free_places(self.load(now_ms), self.slots)
        }
    }

    /// Whether it rejected a request for lack of capacity and has not reported room since.
    pub fn is_known_full(&self, now_ms: u64) -> bool {
        now_ms < self.no_capacity_until_ms.get()
    }

    /// Records the load in the answer to a request that it accepted: with room, a rejection before it is outdated.
    pub fn note_accepted(&self, load: ReportedLoad) {
        if queue::free_places(f64::from(load.running + load.waiting), self.slots) >= 1.0 {
            self.no_capacity_until_ms.set(0);
        }
    }

    /// Tells `freed` from now on when a request of this instance ends there.
    pub fn report_freed_places(&self, freed: &Rc<FreedPlaces>) {
        *self.freed.borrow_mut() = Some(Rc::clone(freed));
    }

    /// Records that a request of this instance ended there.
    pub(super) fn note_place_freed(&self) {
        if let Some(freed) = &*self.freed.borrow() {
            freed.note_freed();
        }
    }
}
