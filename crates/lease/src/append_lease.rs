//! Who may give the next order, told from a log that appends under a condition.
//!
//! No instance holds a lease that has to be renewed. Each order is first appended to one log, on
//! the condition that the log ends where this instance has read to; the offset is its fencing token.
//! Whoever has read another holder's order stays quiet for as long as that order could still be on
//! its way, and for the time in which engines must not hear two holders. See docs/design/orders.md.

/// How long what a holder was allowed may take, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendLeaseTimes {
    /// From before an append is asked for, the time in which what it allows may be sent.
    pub send_window_ms: u64,
    /// Time after which nothing that was sent is still on its way.
    pub in_flight_ms: u64,
    /// Time by which what two holders send must be apart.
    pub lease_ms: u64,
}

impl AppendLeaseTimes {
    /// Of orders to engines: a store's slow answer and a question to the engine come before the send, and the kernel
    /// drops a connection whose bytes stay unacknowledged for 4 s.
    pub fn for_orders(lease_ms: u64) -> Self {
        Self {
            send_window_ms: 1_500,
            in_flight_ms: 5_000,
            lease_ms,
        }
    }

    /// Of calls to the platform's API: each has a connection of its own, which is reset when its answer does not come,
    /// and with it the bytes that wait for a link. What then still arrives does so at the moment at which a link heals
    /// or a sender wakes, and is not held against anybody.
    pub fn for_cloud_calls(lease_ms: u64) -> Self {
        Self {
            send_window_ms: 1_000,
            in_flight_ms: 1_000,
            lease_ms,
        }
    }

    /// Time for which a holder is quiet after it has read of another one.
    fn quiet_ms(&self) -> u64 {
        self.send_window_ms + self.in_flight_ms + self.lease_ms
    }
}

/// The right to send one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendPermit {
    /// Fencing token, greater than that of each order before.
    pub fence: u64,
    /// Time since boot after which no byte of the order may leave.
    pub expires_ms: u64,
}

impl SendPermit {
    /// Whether the order may be sent now.
    ///
    /// A process that was suspended between its append and its send would give an order that its
    /// successor's has overtaken. Times since boot count the suspension.
    pub fn is_valid(&self, since_boot_ms: u64) -> bool {
        since_boot_ms < self.expires_ms
    }
}

/// What one holder, which is one life of a process, knows of the log of orders.
///
/// All times are since boot, so that a suspended process does not take its own pause for quiet.
#[derive(Debug, Clone)]
pub struct AppendLease {
    holder: u64,
    times: AppendLeaseTimes,
    end: Option<u64>,
    other_ms: Option<u64>,
    heard: Option<(u64, u64)>,
}

impl AppendLease {
    /// For a holder that has read nothing.
    pub fn new(holder: u64, times: AppendLeaseTimes) -> Self {
        Self {
            holder,
            times,
            end: None,
            other_ms: None,
            heard: None,
        }
    }

    /// Number that tells this holder's orders from those of others.
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Where the log ended when it was last read; nothing if that is not known.
    pub fn log_end(&self) -> Option<u64> {
        self.end
    }

    /// Another holder told that it acted under this token: all up to it stood in the log by now.
    pub fn observe_fence(&mut self, since_boot_ms: u64, fence: u64) {
        if self.heard.is_none_or(|(known, _)| known < fence) {
            self.heard = Some((fence, since_boot_ms));
        }
    }

    /// The log was read up to `end`; these holders' orders were in it.
    pub fn record_read(
        &mut self,
        since_boot_ms: u64,
        holders: impl IntoIterator<Item = u64>,
        end: u64,
    ) {
        self.end = Some(end);
        if holders.into_iter().any(|holder| holder != self.holder) {
            let known_ms = self.heard.filter(|(fence, _)| end <= *fence);
            let appended_ms = known_ms.map_or(since_boot_ms, |(_, at_ms)| at_ms);
            self.other_ms = self.other_ms.max(Some(appended_ms));
        }
    }

    /// The end of the log is no longer known: an append was not answered, or another one was first.
    pub fn invalidate_end(&mut self) {
        self.end = None;
    }

    /// Records may have been passed over unread, which may have been another holder's.
    pub fn invalidate_history(&mut self, since_boot_ms: u64) {
        self.end = None;
        self.other_ms = Some(since_boot_ms);
    }

    /// Offset at which the log must end for this holder's order to be appended now.
    pub fn append_offset(&self, since_boot_ms: u64) -> Option<u64> {
        let quiet_ms = self.times.quiet_ms();
        let is_quiet = |other_ms: u64| since_boot_ms >= other_ms + quiet_ms;
        self.end.filter(|_| self.other_ms.is_none_or(is_quiet))
    }

    /// An order whose append was asked for at `asked_ms` stands in the log at an offset.
    pub fn record_append(&mut self, asked_ms: u64, offset: u64) -> SendPermit {
        self.end = Some(offset + 1);
        SendPermit {
            fence: offset + 1,
            expires_ms: asked_ms + self.times.send_window_ms,
        }
    }
}
