//! Fair sharing of engine time among members while the fleet is overloaded.

use std::collections::HashMap;

/// Time constant with which a member's usage decays.
const DECAY_MS: f64 = 10_000.0;

/// Factor by which a member may exceed its fair usage while the fleet is under pressure.
const TOLERANCE: f64 = 1.15;

/// Usage that any member may have, in ms of decayed engine time.
const MIN_USAGE_MS: f64 = 50.0;

#[derive(Debug, Clone, Copy)]
struct Usage {
    requested_ms: f64,
    admitted_ms: f64,
    share: f64,
    at_ms: u64,
}

impl Usage {
    fn decayed(&self, now_ms: u64) -> Self {
        let factor = (-(now_ms.saturating_sub(self.at_ms) as f64) / DECAY_MS).exp();
        Self {
            requested_ms: self.requested_ms * factor,
            admitted_ms: self.admitted_ms * factor,
            share: self.share,
            at_ms: now_ms,
        }
    }
}

/// Engine time that each member requested and was granted, decaying exponentially.
#[derive(Debug, Clone, Default)]
pub struct Fairness {
    members: HashMap<String, Usage>,
}

impl Fairness {
    /// Whether a member's request of `work_ms` engine time may be admitted while the fleet is
    /// under pressure.
    ///
    /// This is weighted max-min fairness: time that other members do not request is free to take.
    /// A member is held back only if its admitted time exceeds its share of all admitted time,
    /// where each other member counts for no more than it requested.
    pub fn allows(&self, now_ms: u64, member: &str, work_ms: f64) -> bool {
        let Some(own) = self.members.get(member) else {
            return true;
        };
        let own = own.decayed(now_ms);
        let usages: Vec<Usage> = self
            .members
            .values()
            .map(|usage| usage.decayed(now_ms))
            .collect();
        let total: f64 = usages.iter().map(|usage| usage.admitted_ms).sum();
        let level = fill_level(&usages, total + work_ms);
        own.admitted_ms + work_ms <= (level * own.share * TOLERANCE).max(MIN_USAGE_MS)
    }

    /// Records engine time that a member requested, and whether it was admitted.
    pub fn record(&mut self, now_ms: u64, member: &str, share: u32, work_ms: f64, admitted: bool) {
        let share = f64::from(share.max(1));
        let unused = Usage {
            requested_ms: 0.0,
            admitted_ms: 0.0,
            share,
            at_ms: now_ms,
        };
        if let Some(usage) = self.members.get_mut(member) {
            *usage = usage.decayed(now_ms);
        } else {
            self.members.insert(member.to_owned(), unused);
        }
        if let Some(usage) = self.members.get_mut(member) {
            usage.share = share;
            usage.requested_ms += work_ms;
            if admitted {
                usage.admitted_ms += work_ms;
            }
        }
    }
}

/// Usage per unit of share at which `capacity` is handed out completely, with no member getting
/// more than it requested (progressive filling); infinite if capacity is left over.
fn fill_level(usages: &[Usage], capacity: f64) -> f64 {
    let mut order: Vec<&Usage> = usages.iter().collect();
    order.sort_by(|a, b| (a.requested_ms / a.share).total_cmp(&(b.requested_ms / b.share)));
    let mut left = capacity;
    let mut shares: f64 = order.iter().map(|usage| usage.share).sum();
    for usage in &order {
        let level = left / shares;
        if usage.requested_ms / usage.share >= level {
            return level;
        }
        left -= usage.requested_ms;
        shares -= usage.share;
        if shares <= 0.0 {
            break;
        }
    }
    f64::INFINITY
}
