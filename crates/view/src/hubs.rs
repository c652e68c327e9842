//! Which instances are hubs, i.e. aggregate the gossip of the others.
//!
//! Each of three hundred instances must know within some tenths of a second what all have
//! outstanding. All-to-all gossip would be 90,000 datagrams per period, and gossip with a few
//! random peers would show each instance a few percent of the load. The number of hubs is the
//! square root of the number of instances, so a hub receives from as many instances as there are
//! hubs, and all costs grow with that root. Up to [`FULL_MESH_MAX`] instances all are hubs and send
//! to each other. See docs/LOAD.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{InstanceKey, Member, Members};

/// Most instances that form a full mesh: as many datagrams per period as a hub among eighty sends
/// anyway.
pub const FULL_MESH_MAX: usize = 9;

/// Number of hubs among `instances`.
pub fn count(instances: usize) -> usize {
    let root = (instances as f64).sqrt().ceil() as usize;
    root.max(instances.min(FULL_MESH_MAX))
}

/// Instances in the order in which they become hubs. Each zone has its share of the first places,
/// taken by its instances with the fastest links, because a hub sends to as many instances as there
/// are hubs.
///
/// If only link speed counted, a fleet whose fast links are all in one zone would have no hub in
/// the others. Their instances would report across zones, which costs, and the hubs they report to
/// would have twice as many reporters.
pub fn order<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut zones: BTreeMap<&str, Vec<&Member>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(member);
    }
    let mut all = Vec::new();
    for zone in zones.values_mut() {
        zone.sort_by_cached_key(|member| {
            (Reverse(member.link_mbps), InstanceKey::of(&member.name))
        });
        let step = 1.0 / zone.len() as f64;
        let ranked = zone.iter().enumerate();
        all.extend(ranked.map(|(rank, member)| ((rank as f64 + 0.5) * step, *member)));
    }
    all.sort_by(|(a, one), (b, other)| a.total_cmp(b).then_with(|| one.name.cmp(&other.name)));
    all.into_iter().map(|(_, member)| member).collect()
}

/// The hubs, and this instance's place in the order of [`order`].
#[derive(Debug, Clone, Default)]
pub struct HubRanking {
    /// The hubs.
    pub hubs: Vec<Member>,
    /// Number of instances before this one in the order; all of them if it is not reachable itself.
    pub rank: usize,
    /// Number of reachable instances.
    pub instances: usize,
}

impl HubRanking {
    /// The ranking as the instance named `own` sees it.
    pub fn of(own: &str, members: &Members) -> Self {
        let all = order(members.reachable());
        let rank = all.iter().position(|member| member.name == own);
        let hubs = all.iter().take(count(all.len()));
        Self {
            hubs: hubs.map(|member| (*member).clone()).collect(),
            rank: rank.unwrap_or(all.len()),
            instances: all.len(),
        }
    }

    /// Whether the instance is a hub.
    pub fn is_hub(&self) -> bool {
        self.rank < self.hubs.len()
    }
}

/// The hub that an instance reports to, preferably in its own zone. The choice is stable while the
/// hubs are the same, so that the instance's load is not counted at two hubs.
pub fn nearest<'a>(name: &str, zone: &str, hubs: &[&'a Member]) -> Option<&'a Member> {
    let preference = |hub: &&&Member| {
        let key = InstanceKey::of(name);
        let weight = xxh3_64_with_seed(hub.name.as_bytes(), key.0.into());
        (hub.zone == zone, weight)
    };
    hubs.iter().max_by_key(preference).copied()
}
