//! Weighted max-min fair sharing of engine time among workspaces, while room is short.
//!
//! Time that one workspace does not request is free to take for the others. See
//! docs/design/shares.md.

mod hold_back;
mod members;
mod room;

pub use hold_back::{HoldBack, hold_back};
pub use members::MemberShares;
pub use room::{RoomChange, RoomSample, RoomWatch, ShortCause};

/// Priorities of workspaces and routes that are told apart; later ones count as the last.
pub const SHARE_RANKS: usize = 4;

/// Engine time that any workspace may have within the window, in ms: that of a few short requests.
const MIN_GRANTED_MS: f64 = 50.0;

/// Engine time that a workspace requested and was granted at one rank.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Claim {
    /// Priority, 0 first.
    pub rank: u8,
    /// Weight of the workspace, above 0.
    pub weight: f64,
    /// Engine time of all its requests.
    pub requested_ms: f64,
    /// Engine time of those that were placed.
    pub granted_ms: f64,
}

impl Claim {
    fn rank_index(&self) -> usize {
        usize::from(self.rank).min(SHARE_RANKS - 1)
    }
}

/// Engine time that a unit of weight is entitled to, by rank.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FairLevels([f64; SHARE_RANKS]);

impl Default for FairLevels {
    /// Levels that nobody exceeds.
    fn default() -> Self {
        Self([f64::INFINITY; SHARE_RANKS])
    }
}

impl FairLevels {
    /// The levels at which all granted time would have been handed out fairly.
    ///
    /// A rank is entitled to what later ranks were granted, too: it is never held back in favour
    /// of these.
    pub fn of(claims: &[Claim]) -> Self {
        let mut levels = Self::default();
        let mut capacity_ms = 0.0;
        for rank in (0..SHARE_RANKS).rev() {
            let of_rank: Vec<Claim> = claims
                .iter()
                .filter(|claim| claim.rank_index() == rank)
                .copied()
                .collect();
            capacity_ms += of_rank.iter().map(|claim| claim.granted_ms).sum::<f64>();
            levels.0[rank] = fill_level(&of_rank, capacity_ms);
        }
        levels
    }

    /// Engine time that a workspace of this rank and weight is entitled to; infinite if all
    /// requests of the rank could be granted.
    pub fn share_ms(&self, claim: &Claim) -> f64 {
        self.0[claim.rank_index()] * claim.weight
    }

    /// Fraction by which the granted time exceeds the share; negative below it, down to -1.
    pub fn excess(&self, claim: &Claim) -> f64 {
        let share_ms = self.share_ms(claim).max(MIN_GRANTED_MS);
        claim.granted_ms / share_ms - 1.0
    }
}

/// Usage per unit of weight at which `capacity_ms` is handed out completely, with no claim getting
/// more than it requested (progressive filling); infinite if capacity is left over.
fn fill_level(claims: &[Claim], capacity_ms: f64) -> f64 {
    let mut order: Vec<&Claim> = claims.iter().collect();
    let per_weight = |claim: &Claim| claim.requested_ms / claim.weight;
    order.sort_by(|a, b| per_weight(a).total_cmp(&per_weight(b)));
    let mut left_ms = capacity_ms;
    let mut weights: f64 = order.iter().map(|claim| claim.weight).sum();
    for claim in &order {
        let level = left_ms / weights;
        if per_weight(claim) >= level {
            return level;
        }
        left_ms -= claim.requested_ms;
        weights -= claim.weight;
        if weights <= 0.0 {
            break;
        }
    }
    f64::INFINITY
}
