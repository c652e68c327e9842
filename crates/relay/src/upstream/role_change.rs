//! Role changes of an engine that the list of upstreams does not show yet.

use super::{Stage, Upstream};

/// A role change that was ordered and that the list of upstreams does not show yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RoleChange {
    stage: Stage,
    until_ms: u64,
    is_own: bool,
}

impl Upstream {
    /// Records that a role change to `stage` was ordered, by this instance if `is_own`.
    ///
    /// The upstream gets no requests until the list shows the new stage or `for_ms` have passed.
    pub fn begin_role_change(&self, now_ms: u64, stage: Stage, for_ms: u64, is_own: bool) {
        self.role_change.set(Some(RoleChange {
            stage,
            until_ms: now_ms + for_ms,
            is_own,
        }));
    }

    /// Clears the pending role change because the engine did not get or accept the order.
    pub fn cancel_role_change(&self) {
        self.role_change.set(None);
    }

    /// The pending role change that this instance ordered, for gossip.
    pub fn own_role_change(&self, now_ms: u64) -> Option<view::PendingRoleChange> {
        let role_change = self.role_change(now_ms)?;
        role_change.is_own.then(|| view::PendingRoleChange {
            upstream: self.key,
            stage: role_change.stage,
            remaining_ms: (role_change.until_ms - now_ms) as u32,
        })
    }

    fn role_change(&self, now_ms: u64) -> Option<RoleChange> {
        let role_change = self.role_change.get()?;
        (role_change.stage != self.stage() && now_ms < role_change.until_ms).then_some(role_change)
    }

    /// Whether a role change is pending.
    pub fn is_changing_role(&self, now_ms: u64) -> bool {
        self.role_change(now_ms).is_some()
    }

    /// The stage after the pending role change, or the current stage if none is pending.
    pub fn target_stage(&self, now_ms: u64) -> Stage {
        let role_change = self.role_change(now_ms);
        role_change.map_or_else(|| self.stage(), |role_change| role_change.stage)
    }

    /// Switches between prefill and decode after the engine rejected a request that is not for its stage.
    ///
    /// While the store is unavailable the list does not show the role change. Without this, each
    /// request sent there would be rejected and count against the retry budget.
    pub fn assume_other_stage(&self) {
        self.stage.set(match self.stage.get() {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
            Stage::Whole => Stage::Whole,
        });
    }
}
