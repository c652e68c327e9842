//! Fair shares among members while there is not room for all.

use std::collections::HashMap;

/// Time constant over which a member's use is remembered.
const MEMORY_MS: f64 = 10_000.0;

/// How far above its share a member may be while the fleet is under pressure.
const SLACK: f64 = 1.15;

/// Use below which a member counts as idle, in engine ms over the memory.
const IDLE_MS: f64 = 50.0;

#[derive(Debug, Clone, Copy)]
struct Use {
    wanted_ms: f64,
    admitted_ms: f64,
    share: f64,
    at_ms: u64,
}

impl Use {
    fn decayed(&self, now_ms: u64) -> Self {
        let keep = (-(now_ms.saturating_sub(self.at_ms) as f64) / MEMORY_MS).exp();
        Self {
            wanted_ms: self.wanted_ms * keep,
            admitted_ms: self.admitted_ms * keep,
            share: self.share,
            at_ms: now_ms,
        }
    }
}

/// Engine time that each member asked for and got, fading over time.
#[derive(Debug, Clone, Default)]
pub struct Fairness {
    members: HashMap<String, Use>,
}

impl Fairness {
    /// Whether a member's request may be admitted while the fleet is under pressure.
    ///
    /// Max-min fairness by share: what the others do not ask for is free to take, so a member
    /// is held back only where what it got exceeds its share of all that was got, counting for
    /// each other member no more than it asked for.
    pub fn allows(&self, now_ms: u64, member: &str, work_ms: f64) -> bool {
        let Some(mine) = self.members.get(member) else {
            return true;
        };
        let mine = mine.decayed(now_ms);
        let uses: Vec<Use> = self
            .members
            .values()
            .map(|each| each.decayed(now_ms))
            .collect();
        let total: f64 = uses.iter().map(|each| each.admitted_ms).sum();
        let level = fill_level(&uses, total + work_ms);
        mine.admitted_ms + work_ms <= (level * mine.share * SLACK).max(IDLE_MS)
    }

    /// A member asked for work, which was admitted or not.
    pub fn note(&mut self, now_ms: u64, member: &str, share: u32, work_ms: f64, admitted: bool) {
        let share = f64::from(share.max(1));
        let fresh = Use {
            wanted_ms: 0.0,
            admitted_ms: 0.0,
            share,
            at_ms: now_ms,
        };
        if let Some(each) = self.members.get_mut(member) {
            *each = each.decayed(now_ms);
        } else {
            self.members.insert(member.to_owned(), fresh);
        }
        if let Some(each) = self.members.get_mut(member) {
            each.share = share;
            each.wanted_ms += work_ms;
            if admitted {
                each.admitted_ms += work_ms;
            }
        }
    }
}

/// Use per unit of share at which `capacity` is given out, none getting more than it wanted.
fn fill_level(uses: &[Use], capacity: f64) -> f64 {
    let mut order: Vec<&Use> = uses.iter().collect();
    order.sort_by(|a, b| (a.wanted_ms / a.share).total_cmp(&(b.wanted_ms / b.share)));
    let mut left = capacity;
    let mut shares: f64 = order.iter().map(|each| each.share).sum();
    for each in &order {
        let level = left / shares;
        if each.wanted_ms / each.share >= level {
            return level;
        }
        left -= each.wanted_ms;
        shares -= each.share;
        if shares <= 0.0 {
            break;
        }
    }
    f64::INFINITY
}
