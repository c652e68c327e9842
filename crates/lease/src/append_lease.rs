//! Permission to send the next order, derived from a log with conditional appends.
//!
//! There is no lease to renew. Each order is first appended to a log, on the condition that the log
//! ends at the offset up to which this instance has read it; the offset gives the fencing token. An
//! instance that has read another holder's order appends nothing while that order could still be in
//! flight, nor during the minimum time between orders of two holders. See docs/design/orders.md.

/// Time limits for sending orders, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendLeaseTimes {
    /// Time for which an order may be sent, counted from before its append was requested.
    pub send_window_ms: u64,
    /// Time after which nothing that was sent is still in flight.
    pub in_flight_ms: u64,
    /// Minimum time between the orders of two holders.
    pub lease_ms: u64,
}

impl AppendLeaseTimes {
    /// Limits for orders to engines.
    ///
    /// The send window covers a slow answer of the store and a query to the engine before the send.
    /// The kernel drops a connection whose bytes stay unacknowledged for 4 s.
    pub fn for_orders(lease_ms: u64) -> Self {
        Self {
            send_window_ms: 1_500,
            in_flight_ms: 5_000,
            lease_ms,
        }
    }

    /// Limits for calls to the platform's API.
    ///
    /// Each call has its own connection, which is reset on a timeout and drops the bytes queued for
    /// a link. Bytes that still arrive do so when a partition heals or a suspended sender resumes,
    /// which these limits do not cover.
    pub fn for_api_calls(lease_ms: u64) -> Self {
        Self {
            send_window_ms: 1_000,
            in_flight_ms: 1_000,
            lease_ms,
        }
    }

    /// Time for which a holder appends nothing after it has read an order of another holder.
    fn quiet_ms(&self) -> u64 {
        self.send_window_ms + self.in_flight_ms + self.lease_ms
    }
}

/// Permission to send one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPermit {
    /// Fencing token, greater than those of all earlier orders.
    pub fence: u64,
    /// Time since boot after which no byte of the order may be sent.
    pub expires_ms: u64,
}

impl SendPermit {
    /// Whether the order may be sent now.
    ///
    /// A process that is suspended between append and send must not send an order that a successor
    /// has superseded. Time since boot includes the suspension.
    pub fn is_valid(&self, since_boot_ms: u64) -> bool {
        since_boot_ms < self.expires_ms
    }
}

/// What one holder, that is one incarnation of a process, knows about a log of orders.
///
/// All times are since boot, so that a process does not mistake its own suspension for a quiet log.
#[derive(Debug, Clone)]
pub struct AppendLease {
    holder: u64,
    times: AppendLeaseTimes,
    end: Option<u64>,
    last_other_ms: Option<u64>,
    observed_fence: Option<(u64, u64)>,
}

impl AppendLease {
    /// Creates the state of a holder that has not read the log.
    pub fn new(holder: u64, times: AppendLeaseTimes) -> Self {
        Self {
            holder,
            times,
            end: None,
            last_other_ms: None,
            observed_fence: None,
        }
    }

    /// Number that identifies this holder's orders.
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Offset of the end of the log; `None` if unknown.
    pub fn log_end(&self) -> Option<u64> {
        self.end
    }

    /// Records that another holder has acted under this token, so the log has reached it by now.
    pub fn observe_fence(&mut self, since_boot_ms: u64, fence: u64) {
        if self.observed_fence.is_none_or(|(known, _)| known < fence) {
            self.observed_fence = Some((fence, since_boot_ms));
        }
    }

    /// Records that the log was read up to `end` and contained orders of these holders.
    pub fn record_read(
        &mut self,
        since_boot_ms: u64,
        holders: impl IntoIterator<Item = u64>,
        end: u64,
    ) {
        self.end = Some(end);
        if holders.into_iter().any(|holder| holder != self.holder) {
            let known_ms = self.observed_fence.filter(|(fence, _)| end <= *fence);
            let appended_ms = known_ms.map_or(since_boot_ms, |(_, at_ms)| at_ms);
            self.last_other_ms = self.last_other_ms.max(Some(appended_ms));
        }
    }

    /// Marks the end of the log as unknown: an append was not answered or lost a race.
    pub fn invalidate_end(&mut self) {
        self.end = None;
    }

    /// Marks records as possibly missed; they may have been orders of another holder.
    pub fn invalidate_history(&mut self, since_boot_ms: u64) {
        self.end = None;
        self.last_other_ms = Some(since_boot_ms);
    }

    /// Returns the offset at which the log must end for an append, or `None` if this holder must
    /// wait.
    pub fn append_offset(&self, since_boot_ms: u64) -> Option<u64> {
        let quiet_ms = self.times.quiet_ms();
        let is_quiet = |last_other_ms: u64| since_boot_ms >= last_other_ms + quiet_ms;
        self.end.filter(|_| self.last_other_ms.is_none_or(is_quiet))
    }

    /// Records that the append requested at `requested_ms` succeeded, and permits the send.
    pub fn record_append(&mut self, requested_ms: u64, offset: u64) -> SendPermit {
        self.end = Some(offset + 1);
        SendPermit {
            fence: offset + 1,
            expires_ms: requested_ms + self.times.send_window_ms,
        }
    }
}
