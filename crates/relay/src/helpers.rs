//! Chooses the peers that serve requests for an instance that is cut off from upstreams.
//!
//! The load that it answers: some instances, or most of an availability zone, lose their path for seconds, and all
//! that their callers send goes to the others. No peer may get much more of it than another, each instance uses a few
//! peers only, and traffic between zones costs.

use std::collections::BTreeSet;

use view::{InstanceKey, Member};

use crate::subset::engine_subset;

/// Requests of peers that an instance always serves at the same time.
const MIN_TAKEN_OVER: usize = 32;

/// Requests of peers that an instance serves for each request of its own callers.
const TAKEN_OVER_PER_OWN: usize = 2;

/// The peers that an instance may hand requests over to, given the instances that are cut off from the service.
///
/// Those of its zone, if at least as many instances there can help as need help; otherwise those of all zones, since a
/// few would have to carry the load of a whole zone.
pub fn helpers<'a>(
    members: impl Iterator<Item = &'a Member>,
    own: &Member,
    cut_off: &BTreeSet<InstanceKey>,
) -> Vec<&'a Member> {
    let own_key = InstanceKey::of(&own.name);
    let others: Vec<&Member> = members.filter(|member| member.name != own.name).collect();
    let is_cut_off = |member: &&&Member| cut_off.contains(&InstanceKey::of(&member.name));
    let is_near = |member: &&&Member| member.zone == own.zone;
    let can_help = |member: &&&Member| !is_cut_off(member) && member.gossip_address.is_some();
    let near: Vec<&Member> = others
        .iter()
        .filter(is_near)
        .filter(can_help)
        .copied()
        .collect();
    let in_need = others.iter().filter(is_near).filter(is_cut_off).count() + 1;
    let chosen = if near.len() >= in_need {
        near
    } else {
        others.iter().filter(can_help).copied().collect()
    };
    engine_subset(own_key, &chosen, |member| member.name.as_str())
}

/// Whether an instance takes a request over while it serves `taken_over` requests of peers and `own` of its callers.
pub fn accepts(own: usize, taken_over: usize) -> bool {
    taken_over < MIN_TAKEN_OVER + TAKEN_OVER_PER_OWN * own
}
