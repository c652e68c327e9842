//! Who holds the lease over one group of engines.

use wire::LeaseState;

/// Renewals begin after this share of the ttl, so that two may be lost before the lease lapses.
const RENEW_SHARE: u64 = 3;

/// An instance in one life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Instance.
    pub instance: String,
    /// Number drawn at its start.
    pub incarnation: u64,
}

/// Times that all instances of a deployment share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Time for which a renewal holds, counted from before it was sent.
    pub ttl_ms: u64,
    /// Time that a successor waits beyond the ttl, counted from when it read the renewal.
    pub margin_ms: u64,
}

/// The right to give orders to a group, until a moment of the holder's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Authority {
    /// Offset of the claim.
    pub fence: u64,
    /// The holder's own monotonic time at which the right ends.
    pub expires_ms: u64,
}

/// What to append now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing.
    Wait,
    /// A claim that names the newest record of the lease.
    Claim {
        /// Offset of that record; 0 if there is none.
        supersedes: u64,
    },
    /// A renewal.
    Renew {
        /// Offset of the claim that is renewed.
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
    my_fence: Option<u64>,
}

/// Claims, renews and gives up the lease over one group.
///
/// Two rules make two holders at once impossible, whatever is paused, cut or lost. The holder
/// counts the ttl from before it queued the very record that it has since read back. A successor
/// counts ttl and margin from after it read the newest record, and its claim names that record,
/// so it fails if the holder renewed in the meantime. As a record is read after it is sent, the
/// successor's wait ends after the holder's time.
#[derive(Debug)]
pub struct Elector {
    identity: Identity,
    group: String,
    times: LeaseTimes,
    newest: Newest,
    mine: Option<Authority>,
    sent: Option<Sent>,
    leaving: bool,
}

impl Elector {
    /// An elector that has read nothing yet.
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
                my_fence: None,
            },
            mine: None,
            sent: None,
            leaving: false,
        }
    }

    /// Group of engines.
    pub fn group(&self) -> &str {
        &self.group
    }

    /// Takes in the lease as folded from the log, after it was read at `now_ms`.
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
            my_fence: held.then_some(lease.fencing_token),
        };
        if !held {
            self.mine = None;
            self.sent = None;
            return;
        }
        // Only the send of this very record may be counted from. An earlier record that was
        // given up and landed late was perhaps read by a successor long ago; counting it from a
        // later send would let both act at once.
        let Some(sent) = self.sent.filter(|sent| sent.sequence == lease.sequence) else {
            return;
        };
        self.sent = None;
        self.mine = Some(Authority {
            fence: lease.fencing_token,
            expires_ms: sent.at_ms + self.times.ttl_ms,
        });
    }

    /// What to append, for an instance whose turn is `rank` (0 first) among those that are live.
    ///
    /// Ranks only spread the claims out, so that all instances do not claim at once. They rest
    /// on views that may differ; the log decides. After the append is queued, `record_sent` must be
    /// told its sequence number.
    pub fn poll(&mut self, now_ms: u64, rank: u64) -> LeaseAction {
        if self.leaving || self.is_awaiting(now_ms) {
            return LeaseAction::Wait;
        }
        match self.newest.my_fence {
            Some(fence) => self.poll_holder(now_ms, fence),
            None => self.poll_candidate(now_ms, rank),
        }
    }

    fn is_awaiting(&self, now_ms: u64) -> bool {
        self.sent
            .is_some_and(|sent| now_ms < sent.at_ms + self.times.ttl_ms)
    }

    /// A holder that lapsed may still renew: had another claimed, the newest record were theirs.
    fn poll_holder(&self, now_ms: u64, fence: u64) -> LeaseAction {
        let renew_at_ms = self.mine.map_or(0, |mine| {
            mine.expires_ms - self.times.ttl_ms + self.times.ttl_ms / RENEW_SHARE
        });
        if now_ms < renew_at_ms {
            return LeaseAction::Wait;
        }
        LeaseAction::Renew { fence }
    }

    fn poll_candidate(&self, now_ms: u64, rank: u64) -> LeaseAction {
        let stagger_ms = rank.saturating_mul(self.times.margin_ms / 2);
        let lapse_ms = if self.newest.released {
            0
        } else {
            self.newest.ttl_ms.max(self.times.ttl_ms) + self.times.margin_ms
        };
        if now_ms < self.newest.read_ms + lapse_ms + stagger_ms {
            return LeaseAction::Wait;
        }
        LeaseAction::Claim {
            supersedes: self.newest.offset,
        }
    }

    /// The action of the last poll was queued at `now_ms` under this sequence number.
    pub fn record_sent(&mut self, now_ms: u64, sequence: u64) {
        self.sent = Some(Sent {
            sequence,
            at_ms: now_ms,
        });
    }

    /// The right to give orders at `now_ms`, if this instance has it.
    pub fn authority(&self, now_ms: u64) -> Option<Authority> {
        self.mine.filter(|mine| now_ms < mine.expires_ms)
    }

    /// Stops claiming and renewing; gives the fence to release if the lease is held.
    pub fn resign(&mut self, now_ms: u64) -> Option<u64> {
        self.leaving = true;
        let held = self.authority(now_ms).map(|mine| mine.fence);
        self.mine = None;
        held
    }
}
