//! Limits that upstreams name for all instances together, and this instance's part of them.

use plan::InstancePosition;
use view::{GossipMessage, UpstreamLimit};

use super::Relay;
use crate::upstream::Upstream;

impl Relay {
    /// Upstreams that name a limit.
    pub(super) fn limited(&self) -> usize {
        let now_ms = self.now_ms();
        let upstreams = self.upstreams.borrow();
        let limited = upstreams
            .iter()
            .filter(|each| each.limit().per_s(now_ms).is_some());
        limited.count()
    }

    /// An answer of an upstream named a limit, or none.
    pub fn record_rate_limit(&self, upstream: &Upstream, per_s: Option<f64>) {
        let day_ms = self.singleton_tasks.fleet_ms();
        let learned = upstream.limit().observe(self.now_ms(), day_ms, per_s);
        if learned.is_changed {
            note_changed(upstream, per_s, "answer");
        }
        if let Some(at_ms) = learned.gossip_as_of_ms {
            self.gossip.borrow_mut().add_limit(UpstreamLimit {
                upstream: upstream.key,
                per_s,
                at_ms,
            });
        }
    }

    /// Takes in limits that other instances were told.
    pub(super) fn take_limits(&self, now_ms: u64, told: &GossipMessage) {
        let upstreams = self.upstreams.borrow();
        for word in &told.limits {
            let Some(upstream) = upstreams.get_by_key(word.upstream) else {
                continue;
            };
            let before = upstream.limit().per_s(now_ms);
            if !upstream
                .limit()
                .apply_from_peer(now_ms, word.at_ms, word.per_s)
            {
                continue;
            }
            if before != word.per_s {
                note_changed(upstream, word.per_s, "another instance");
            }
            self.gossip.borrow_mut().forward_limit(*word, told.kind);
        }
    }

    /// Whether a request may go to an upstream now, within the limit that it names.
    pub fn has_rate_capacity(&self, upstream: &Upstream) -> bool {
        let now_ms = self.now_ms();
        let part_per_s = self.part_per_s(now_ms, upstream);
        part_per_s.is_none_or(|part| upstream.limit().has_room(now_ms, part))
    }

    /// Takes the place of one request at an upstream, within the limit that it names.
    ///
    /// Whatever is sent for a caller passes here, first or again, to be read or to be run: an upstream counts them alike.
    pub fn take_rate_capacity(&self, upstream: &Upstream) -> bool {
        let now_ms = self.now_ms();
        let part_per_s = self.part_per_s(now_ms, upstream);
        part_per_s.is_none_or(|part| upstream.limit().take(now_ms, part))
    }

    /// This instance's part of an upstream's limit, if that names one.
    fn part_per_s(&self, now_ms: u64, upstream: &Upstream) -> Option<f64> {
        let per_s = upstream.limit().per_s(now_ms)?;
        Some(self.position().share_per_s(per_s, upstream.key.0.into()))
    }

    fn position(&self) -> InstancePosition {
        self.look_at_ranks();
        let ranks = self.ranks.borrow();
        InstancePosition {
            rank: ranks.rank,
            instances: ranks.instances,
        }
    }
}

fn note_changed(upstream: &Upstream, per_s: Option<f64>, origin: &str) {
    log::info!(
        upstream = upstream.id, limit_per_s:? = per_s, origin;
        "upstream's limit changed"
    );
}
