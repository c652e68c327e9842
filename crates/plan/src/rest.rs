//! Rest that upstreams ask for when they reject a request.
//!
//! The load that it answers: an upstream that rejects everything answers at once, so it looks idle and attracts
//! the requests of all instances, while the sound ones beside it are busy.

/// Longest rest that is granted, in ms. A value in the wrong unit must not keep an upstream out of use for
/// hours; one that still needs rest says so again in its next rejection.
pub const MAX_REST_MS: u64 = 60_000;

/// Time until which an upstream gets no requests, since it asked for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Rest {
    until_ms: u64,
}

impl Rest {
    /// Grants `rest_ms` from now on; returns whether the rest became longer.
    ///
    /// A later rejection that asks for less does not shorten it: the earlier one still holds.
    pub fn extend(&mut self, now_ms: u64, rest_ms: u64) -> bool {
        let until_ms = now_ms.saturating_add(rest_ms.min(MAX_REST_MS));
        let is_longer = until_ms > self.until_ms;
        self.until_ms = self.until_ms.max(until_ms);
        is_longer
    }

    /// Time that is left of it, in ms; 0 if the upstream may get requests.
    pub fn left_ms(self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms)
    }
}

/// Time until the first of the upstreams may get requests, in ms, given what is left of each one's rest; none
/// if there is no upstream, or one that does not rest.
pub fn common_rest_ms(left_ms: impl IntoIterator<Item = u64>) -> Option<u64> {
    left_ms.into_iter().min().filter(|&least_ms| least_ms > 0)
}
