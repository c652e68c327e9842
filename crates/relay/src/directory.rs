//! Service discovery: the addresses of instances that callers get.

use std::net::SocketAddr;

use view::{InstanceKey, Member};

/// Minimum number of instances in the caller's availability zone; with fewer, instances of all zones are
/// listed, since a caller that knows a single instance has no other one when that stops.
const MIN_IN_ZONE: usize = 2;

/// Largest number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Addresses for a caller: those of instances in its zone, or in all zones if its zone has too few.
///
/// The answering instance is listed by `own`, its current state, which is newer than its last heartbeat. Instances
/// that are cut off from all upstreams are left out as long as there are others: whatever is sent to them takes a
/// second hop.
pub fn addresses<'a>(
    members: impl Iterator<Item = &'a Member>,
    own: &Member,
    zone: Option<&str>,
    unreached: &[InstanceKey],
) -> Vec<SocketAddr> {
    let mut all: Vec<&Member> = members.filter(|member| member.name != own.name).collect();
    if own.ready {
        all.push(own);
    }
    let reaches_upstreams = |member: &&&Member| !unreached.contains(&InstanceKey::of(&member.name));
    if all.iter().any(|member| reaches_upstreams(&member)) {
        all.retain(|member| reaches_upstreams(&member));
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    let in_zone = || {
        all.iter()
            .filter(|member| Some(member.zone.as_str()) == zone)
    };
    let chosen: Vec<&Member> = if in_zone().count() >= MIN_IN_ZONE {
        in_zone().copied().collect()
    } else {
        all.clone()
    };
    chosen
        .iter()
        .take(MAX_ADDRESSES)
        .map(|member| member.address)
        .collect()
}
