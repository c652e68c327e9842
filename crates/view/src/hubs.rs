//! Which instances gather what the others have to tell.
//!
//! Load pattern: three hundred instances, each of which must know within some tenths of a second what
//! all have outstanding. All to all would be 90,000 datagrams a period; each to a few at random leaves
//! each with a few hundredths of the truth. With a hub for each square root of instances, a hub hears
//! as many instances as there are hubs, and all cost grows with that root. Up to [`FULL_MESH_MAX`] instances
//! all are hubs, and each tells each. See docs/LOAD.md.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{InstanceKey, Member, Members};

/// Instances up to which each tells each other one: as many datagrams a period as a hub has anyway
/// among eighty.
pub const FULL_MESH_MAX: usize = 9;

/// Hubs among so many instances.
pub fn count(instances: usize) -> usize {
    let root = (instances as f64).sqrt().ceil() as usize;
    root.max(instances.min(FULL_MESH_MAX))
}

/// Instances in the order in which they take the part of a hub: each zone has its share of the first of
/// them, those with the fastest links, since a hub sends to as many as there are hubs.
///
/// A fleet whose fast links are all in one zone would else have no hub in the others: their instances
/// tell across zones then, which costs, and the hubs that they meet at have twice as many as others.
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
        let part = 1.0 / zone.len() as f64;
        let placed = zone.iter().enumerate();
        all.extend(placed.map(|(rank, member)| ((rank as f64 + 0.5) * part, *member)));
    }
    all.sort_by(|(a, one), (b, other)| a.total_cmp(b).then_with(|| one.name.cmp(&other.name)));
    all.into_iter().map(|(_, member)| member).collect()
}

/// Where an instance stands among the others.
#[derive(Debug, Clone, Default)]
pub struct HubRanking {
    /// The hubs.
    pub hubs: Vec<Member>,
    /// Instances before this one in the order in which they take the part of a hub; all, if it is not
    /// among them.
    pub rank: usize,
    /// All that are reachable.
    pub instances: usize,
}

impl HubRanking {
    /// As an instance sees them.
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

/// The hub that an instance tells: of its zone if there is one, and always the same while the hubs
/// are, so that its load is not counted at two.
pub fn nearest<'a>(name: &str, zone: &str, hubs: &[&'a Member]) -> Option<&'a Member> {
    let draw = |hub: &&&Member| {
        let key = InstanceKey::of(name);
        let weight = xxh3_64_with_seed(hub.name.as_bytes(), key.0.into());
        (hub.zone == zone, weight)
    };
    hubs.iter().max_by_key(draw).copied()
}
