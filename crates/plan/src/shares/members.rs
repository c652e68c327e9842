//! Shares of members by what one instance requested and granted, decaying exponentially.

use std::collections::HashMap;

use super::{Claim, MIN_GRANTED_MS, fill_level};

/// Time constant with which a member's usage decays.
const DECAY_MS: f64 = 10_000.0;

/// Factor by which a member may exceed its fair usage while the fleet is under pressure.
const TOLERANCE: f64 = 1.15;

#[derive(Debug, Clone, Copy)]
struct Usage {
    claim: Claim,
    at_ms: u64,
}

impl Usage {
    fn decayed(&self, now_ms: u64) -> Claim {
        let factor = (-(now_ms.saturating_sub(self.at_ms) as f64) / DECAY_MS).exp();
        Claim {
            requested_ms: self.claim.requested_ms * factor,
            granted_ms: self.claim.granted_ms * factor,
            ..self.claim
        }
    }
}

/// Engine time that each member requested and was granted.
#[derive(Debug, Clone, Default)]
pub struct MemberShares {
    members: HashMap<String, Usage>,
}

impl MemberShares {
    /// Whether a member's request of `work_ms` engine time may be admitted while the fleet is
    /// under pressure.
    ///
    /// A member is held back only if its admitted time exceeds its share of all admitted time,
    /// where each other member counts for no more than it requested.
    pub fn allows(&self, now_ms: u64, member: &str, work_ms: f64) -> bool {
        let Some(own) = self.members.get(member) else {
            return true;
        };
        let own = own.decayed(now_ms);
        let usages = self.members.values();
        let claims: Vec<Claim> = usages.map(|usage| usage.decayed(now_ms)).collect();
        let granted_ms: f64 = claims.iter().map(|claim| claim.granted_ms).sum();
        let level = fill_level(&claims, granted_ms + work_ms);
        own.granted_ms + work_ms <= (level * own.weight * TOLERANCE).max(MIN_GRANTED_MS)
    }

    /// Records engine time that a member requested, and whether it was admitted.
    pub fn record(&mut self, now_ms: u64, member: &str, share: u32, work_ms: f64, admitted: bool) {
        let known = self.members.get(member);
        let mut claim = known.map(|usage| usage.decayed(now_ms)).unwrap_or_default();
        claim.weight = f64::from(share.max(1));
        claim.requested_ms += work_ms;
        if admitted {
            claim.granted_ms += work_ms;
        }
        let usage = Usage {
            claim,
            at_ms: now_ms,
        };
        self.members.insert(member.to_owned(), usage);
    }
}
