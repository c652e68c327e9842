//! The peers that may take a request over, and what is at them or comes from them now.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use view::{InstanceKey, Member, ServiceKey, VersionKey};

use crate::answer::{Reason, Refusal};
use crate::helpers::{accepts, helpers};
use crate::pool::Pool;
use crate::relay::{Phase, Relay};

/// Connections to peers, and the requests of peers that are served here now.
#[derive(Default)]
pub struct Handovers {
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    handed_over: RefCell<HashMap<SocketAddr, usize>>,
    taken_over: Rc<Cell<usize>>,
}

/// Counts a request for as long as it is at a peer.
pub struct AtPeer {
    relay: Rc<Relay>,
    /// Name of the peer.
    pub name: String,
    /// Version of the engine from which the peer serves it, if the peer told.
    pub version: Option<VersionKey>,
    address: SocketAddr,
}

impl AtPeer {
    pub(super) fn begin(relay: &Rc<Relay>, peer: &Peer) -> Self {
        let mut counts = relay.handovers.handed_over.borrow_mut();
        *counts.entry(peer.address).or_default() += 1;
        Self {
            relay: Rc::clone(relay),
            name: peer.name.clone(),
            version: None,
            address: peer.address,
        }
    }
}

impl Drop for AtPeer {
    fn drop(&mut self) {
        let mut counts = self.relay.handovers.handed_over.borrow_mut();
        let count = counts.get(&self.address).copied().unwrap_or_default();
        if count <= 1 {
            counts.remove(&self.address);
        } else {
            counts.insert(self.address, count - 1);
        }
    }
}

/// A peer that may take requests over.
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

impl Relay {
    /// The peer that has the fewest requests of this instance, of those that may take one over.
    pub(super) fn choose_helper(&self, service: &str, tried: &[String]) -> Option<Peer> {
        let key = ServiceKey::of(service);
        let gossip = self.gossip.borrow();
        let unreached = gossip.unreached().filter(|each| each.service == key);
        let unreached: BTreeSet<InstanceKey> = unreached.map(|each| each.instance).collect();
        let own = self.own_member();
        let members = self.members.borrow();
        let counts = self.handovers.handed_over.borrow();
        let in_use = |member: &&Member| {
            let count = member.gossip_address.and_then(|it| counts.get(&it));
            count.copied().unwrap_or_default()
        };
        let all = helpers(members.reachable(), &own, &unreached);
        let free = all
            .into_iter()
            .filter(|member| !tried.contains(&member.name));
        let chosen = free.min_by_key(in_use)?;
        Some(Peer {
            name: chosen.name.clone(),
            address: chosen.gossip_address?,
        })
    }

    pub(super) fn handover_pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.handovers.pools.borrow_mut();
        let new_pool = || Pool::new(address, self.clock);
        Rc::clone(pools.entry(address).or_insert_with(new_pool))
    }

    /// Begins to serve a request of a peer, or refuses it if this instance is stopping or serves too many.
    pub(crate) fn begin_taken_over(&self) -> Result<TakenOver, Refusal> {
        let taken_over = &self.handovers.taken_over;
        let own = self.in_flight.get().saturating_sub(taken_over.get());
        if self.phase() != Phase::Serving || !accepts(own, taken_over.get()) {
            return Err(Refusal::new(Reason::HelperBusy));
        }
        taken_over.set(taken_over.get() + 1);
        Ok(TakenOver(Rc::clone(taken_over)))
    }
}

/// Counts a request of a peer for as long as it is served here.
pub struct TakenOver(Rc<Cell<usize>>);

impl Drop for TakenOver {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
