//! Election of the lease holder for one group of engines.

use wire::LeaseState;

/// A lease is renewed after `ttl / RENEWAL_DIVISOR`, so two renewals may fail before it expires.
const RENEWAL_DIVISOR: u64 = 3;

/// One incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the instance.
    pub instance: String,
    /// Random number drawn when the process starts.
    pub incarnation: u64,
}

/// Lease timing, the same for all instances of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Validity of a claim or renewal, counted from before it was sent.
    pub ttl_ms: u64,
    /// Time that a candidate waits in addition to the TTL, counted from when it read the last
    /// record.
    pub margin_ms: u64,
}

/// Permission to send orders to a group until a time on the holder's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Log offset of the claim. Renewals and orders name it to show which claim they are based on.
    pub fence: u64,
    /// Time on the holder's monotonic clock at which the permission ends.
    pub expires_ms: u64,
}

/// Record to append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// No record.
    Wait,
    /// A claim that supersedes the newest record of the lease.
    Claim {
        /// Offset of the newest record; 0 if there is none.
        supersedes: u64,
    },
    /// A renewal.
    Renew {
        /// Log offset of the claim to renew.
        fence: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    sequence: u64,
    at_ms: u64,
}

/// The newest record of the lease as read from the log.
#[derive(Debug, Clone, Copy)]
struct Newest {
    offset: u64,
    read_ms: u64,
    ttl_ms: u64,
    released: bool,
    own_fence: Option<u64>,
}

/// Claims, renews and releases the lease over one group.
///
/// Two rules exclude two holders at the same time, even with paused processes, partitions and lost
/// messages. The holder counts the TTL from before it queued a record that it has since read back.
/// A candidate counts TTL and margin from after it read the newest record, and its claim names that
/// record, so the claim fails if the holder has renewed since. A record is read after it is sent,
/// so the candidate's wait ends after the holder's lease.
#[derive(Debug)]
pub struct Elector {
    identity: Identity,
    group: String,
    times: LeaseTimes,
    newest: Newest,
    held_authority: Option<Authority>,
    sent: Option<Sent>,
    has_resigned: bool,
}

impl Elector {
    /// Creates an elector that has not read the log.
    pub fn new(identity: Identity, group: &str, times: LeaseTimes, now_ms: u64) -> Self {
        Self {
            identity,
            group: group.to_owned(),
            times,
            newest: Newest {
                offset: 0,
                read_ms: now_ms,
                ttl_ms: 0,
                released: true,
                own_fence: None,
            },
            held_authority: None,
            sent: None,
            has_resigned: false,
        }
    }

    /// Name of the group of engines.
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Updates the lease from the state of the log, as read at `now_ms`.
    pub fn observe(&mut self, now_ms: u64, lease: Option<&LeaseState>) {
        let Some(lease) = lease.filter(|lease| lease.last_offset != self.newest.offset) else {
            return;
        };
        let held = lease.holder == self.identity.instance
            && lease.incarnation == self.identity.incarnation
            && !lease.released;
        self.newest = Newest {
            offset: lease.last_offset,
            read_ms: now_ms,
            ttl_ms: lease.ttl_ms,
            released: lease.released,
            own_fence: held.then_some(lease.fencing_token),
        };
        if !held {
            self.held_authority = None;
            self.sent = None;
            return;
        }
        // The TTL must be counted from the send of this record. An earlier record that was given up
        // and appended late may have been read by a candidate long ago; counting it from a later
        // send would let both act at the same time.
        let Some(sent) = self.sent.filter(|sent| sent.sequence == lease.sequence) else {
            return;
        };
        self.sent = None;
        self.held_authority = Some(Authority {
            fence: lease.fencing_token,
            expires_ms: sent.at_ms + self.times.ttl_ms,
        });
    }

    /// Returns the record to append, for an instance with the given `rank` among the live ones.
    ///
    /// Ranks stagger the claims, with rank 0 first. Instances may disagree on them; the log
    /// decides. After the record is queued, `record_sent` must be called with its sequence number.
    pub fn poll(&mut self, now_ms: u64, rank: u64) -> LeaseAction {
        if self.has_resigned || self.is_append_pending(now_ms) {
            return LeaseAction::Wait;
        }
        match self.newest.own_fence {
            Some(fence) => self.poll_holder(now_ms, fence),
            None => self.poll_candidate(now_ms, rank),
        }
    }

    fn is_append_pending(&self, now_ms: u64) -> bool {
        self.sent
            .is_some_and(|sent| now_ms < sent.at_ms + self.times.ttl_ms)
    }

    /// A holder whose lease has expired may still renew: the newest record shows that no other
    /// instance has claimed it.
    fn poll_holder(&self, now_ms: u64, fence: u64) -> LeaseAction {
        let renew_at_ms = self.held_authority.map_or(0, |held_authority| {
            held_authority.expires_ms - self.times.ttl_ms + self.times.ttl_ms / RENEWAL_DIVISOR
        });
        if now_ms < renew_at_ms {
            return LeaseAction::Wait;
        }
        LeaseAction::Renew { fence }
    }

    fn poll_candidate(&self, now_ms: u64, rank: u64) -> LeaseAction {
        let stagger_ms = rank.saturating_mul(self.times.margin_ms / 2);
        let expiry_ms = if self.newest.released {
            0
        } else {
            self.newest.ttl_ms.max(self.times.ttl_ms) + self.times.margin_ms
        };
        if now_ms < self.newest.read_ms + expiry_ms + stagger_ms {
            return LeaseAction::Wait;
        }
        LeaseAction::Claim {
            supersedes: self.newest.offset,
        }
    }

    /// Records that the last polled action was queued at `now_ms` under this sequence number.
    pub fn record_sent(&mut self, now_ms: u64, sequence: u64) {
        self.sent = Some(Sent {
            sequence,
            at_ms: now_ms,
        });
    }

    /// Returns the permission to send orders if this instance holds the lease at `now_ms`.
    pub fn authority(&self, now_ms: u64) -> Option<Authority> {
        self.held_authority
            .filter(|held_authority| now_ms < held_authority.expires_ms)
    }

    /// Stops claiming and renewing. Returns the offset of the claim to release if the lease is
    /// held.
    pub fn resign(&mut self, now_ms: u64) -> Option<u64> {
        self.has_resigned = true;
        let held = self
            .authority(now_ms)
            .map(|held_authority| held_authority.fence);
        self.held_authority = None;
        held
    }
}
