//! Room at upstreams, and the part of it that one of several instances takes.

/// Queue at an upstream up to which it has room, as a fraction of its slots: the slots that become free while gossip
/// tells its load, 150 ms of an answer's usual 250 ms. With a shorter one the upstream has idle slots before an
/// instance learns of them; with a longer one the order of requests is not decided here.
const SHORT_QUEUE_FRACTION: f64 = 0.6;

/// Free places, as a fraction of all slots, from which room is not scarce and each instance takes what it needs.
const AMPLE_FRACTION: f64 = 0.5;

/// Requests for which an upstream has room: up to its slots and a short queue.
pub fn free_places(load: f64, slots: u32) -> f64 {
    let slots = f64::from(slots);
    let short_queue = (slots * SHORT_QUEUE_FRACTION).max(1.0);
    (slots + short_queue - load).max(0.0).floor()
}

/// The free places at all upstreams that a request could be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct FreePlaces {
    /// Number of free places.
    pub places: f64,
    /// Number of slots.
    pub slots: f64,
}

impl FreePlaces {
    /// Adds an upstream with these free places.
    pub fn add(&mut self, places: f64, slots: u32) {
        self.places += places;
        self.slots += f64::from(slots);
    }

    /// Whether there is so much room that instances need not share it.
    pub fn is_ample(&self) -> bool {
        self.places >= self.slots * AMPLE_FRACTION
    }
}

/// Draws one upstream, by weights such as free places; none if there is no room. `draw` is uniform in 0 to 1.
///
/// The cheapest upstream with room is the same for all instances. If each sent its requests there while room is
/// scarce, it would be full before its load is known.
pub fn draw_by_places(places: &[f64], draw: f64) -> Option<usize> {
    let total: f64 = places.iter().sum();
    let mut left = draw * total;
    let drawn = places.iter().position(|each| {
        left -= each;
        left < 0.0
    });
    // Rounding may leave a rest behind the last one.
    drawn.or_else(|| places.iter().rposition(|each| *each > 0.0))
}

/// Period in which each instance takes its share, in ms: the age of the oldest loads that gossip tells. In a shorter one
/// places would be shared again that peers have taken already.
const SHARE_PERIOD_MS: u64 = 150;

/// Places that this instance may still take in the current period.
///
/// All instances see the same free place until gossip tells that it is taken. If each took it, upstreams would
/// reject most of the requests. So each takes its equal share of the free places once a period, rounded by a random
/// number; places that instances without waiting requests leave are shared again in the next period. A place that
/// a request of this instance frees is its own at once, since the others do not know of it yet.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PlaceQuota {
    left: u32,
    began_ms: Option<u64>,
}

impl PlaceQuota {
    /// Begins a new period if the last one is over; `draw` is uniform in 0 to 1.
    pub fn refresh(&mut self, now_ms: u64, free: &FreePlaces, instances: usize, draw: f64) {
        if self
            .began_ms
            .is_some_and(|began_ms| now_ms < began_ms + SHARE_PERIOD_MS)
        {
            return;
        }
        self.began_ms = Some(now_ms);
        let share = free.places / instances.max(1) as f64;
        self.left = share.floor() as u32 + u32::from(draw < share.fract());
    }

    /// Adds places that requests of this instance have freed.
    pub fn add_freed(&mut self, places: u32) {
        self.left = self.left.saturating_add(places);
    }

    /// Takes a place if the room allows one; `reserved` places are taken and not in the load yet.
    pub fn take(&mut self, free: &FreePlaces, reserved: u32) -> bool {
        if free.places - f64::from(reserved) < 1.0 {
            return false;
        }
        if free.is_ample() {
            return true;
        }
        let is_left = self.left > 0;
        self.left = self.left.saturating_sub(1);
        is_left
    }
}
