//! Which instances a caller is told of.

use std::net::SocketAddr;

use view::Member;

/// Instances in the caller's availability zone below which all are named: a caller that knows
/// only one has nowhere to go when that one stops.
const LEAST_NEAR: usize = 2;

/// Most addresses in one answer.
const MOST: usize = 64;

/// Addresses for a caller: those of its zone, or of all zones if these are few.
///
/// The instance that answers counts itself by what it knows of itself, which is fresher than
/// its last heartbeat.
pub fn addresses<'a>(
    members: impl Iterator<Item = &'a Member>,
    own: &Member,
    zone: Option<&str>,
) -> Vec<SocketAddr> {
    let mut all: Vec<&Member> = members.filter(|member| member.name != own.name).collect();
    if own.ready {
        all.push(own);
    }
    all.sort_by(|a, b| a.name.cmp(&b.name));
    let near = || {
        all.iter()
            .filter(|member| Some(member.zone.as_str()) == zone)
    };
    let chosen: Vec<&Member> = if near().count() >= LEAST_NEAR {
        near().copied().collect()
    } else {
        all.clone()
    };
    chosen
        .iter()
        .take(MOST)
        .map(|member| member.address)
        .collect()
}
