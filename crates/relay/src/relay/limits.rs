//! Rate limits that upstreams announce for the whole fleet, and this instance's share of them.

use plan::InstancePosition;
use view::{GossipMessage, UpstreamLimit};

use super::Relay;
use crate::upstream::Upstream;

impl Relay {
    /// Number of upstreams that announce a rate limit.
    pub(super) fn limited_upstreams(&self) -> usize {
        let now_ms = self.now_ms();
        let upstreams = self.upstreams.borrow();
        let limited = upstreams
            .iter()
            .filter(|each| each.limit().per_s(now_ms).is_some());
        limited.count()
    }

    /// Records the rate limit that an answer announces, or that it announces none, and gossips a change.
    pub fn record_rate_limit(&self, upstream: &Upstream, per_s: Option<f64>) {
        let day_ms = self.singleton_tasks.fleet_ms();
        let update = upstream.limit().observe(self.now_ms(), day_ms, per_s);
        if update.is_changed {
            log_limit_changed(upstream, per_s, "answer");
        }
        if let Some(at_ms) = update.gossip_as_of_ms {
            self.gossip.borrow_mut().add_limit(UpstreamLimit {
                upstream: upstream.key,
                per_s,
                at_ms,
            });
        }
    }

    /// Applies rate limits that peers observed, and passes on those that are newer than the known ones.
    pub(super) fn apply_limits(&self, now_ms: u64, message: &GossipMessage) {
        let upstreams = self.upstreams.borrow();
        for observed in &message.limits {
            let Some(upstream) = upstreams.get_by_key(observed.upstream) else {
                continue;
            };
            let before = upstream.limit().per_s(now_ms);
            if !upstream
                .limit()
                .apply_from_peer(now_ms, observed.at_ms, observed.per_s)
            {
                continue;
            }
            if before != observed.per_s {
                log_limit_changed(upstream, observed.per_s, "another instance");
            }
            self.gossip
                .borrow_mut()
                .forward_limit(*observed, message.kind);
        }
    }

    /// Whether this instance's share of an upstream's rate limit allows one more request now.
    pub fn has_rate_capacity(&self, upstream: &Upstream) -> bool {
        let now_ms = self.now_ms();
        let share_per_s = self.share_per_s(now_ms, upstream);
        share_per_s.is_none_or(|share| upstream.limit().has_room(now_ms, share))
    }

    /// Takes one request from this instance's share of an upstream's rate limit; false if none is left.
    ///
    /// Every send for a caller takes one, also retries and separate prefills: the upstream counts them alike.
    pub fn take_rate_capacity(&self, upstream: &Upstream) -> bool {
        let now_ms = self.now_ms();
        let share_per_s = self.share_per_s(now_ms, upstream);
        share_per_s.is_none_or(|share| upstream.limit().take(now_ms, share))
    }

    /// This instance's share of an upstream's rate limit, if it announces one.
    fn share_per_s(&self, now_ms: u64, upstream: &Upstream) -> Option<f64> {
        let per_s = upstream.limit().per_s(now_ms)?;
        Some(self.position().share_per_s(per_s, upstream.key.0.into()))
    }

    fn position(&self) -> InstancePosition {
        self.update_ranks();
        let ranks = self.ranks.borrow();
        InstancePosition {
            rank: ranks.rank,
            instances: ranks.instances,
        }
    }
}

fn log_limit_changed(upstream: &Upstream, per_s: Option<f64>, origin: &str) {
    log::info!(
        upstream = upstream.id, limit_per_s:? = per_s, origin;
        "upstream's rate limit changed"
    );
}
