//! The peers of a daemon, as the distribution of configuration needs them.

use crate::id::Place;
use crate::process::membership::MembershipView;
use crate::request::Peer;

/// The live peers of a daemon, without the daemon itself.
pub trait ConfigPeers {
    /// Returns the peers in its own data centre.
    fn of_place(&self) -> Vec<Peer>;

    /// Returns peers in other data centres, all or some of them.
    fn of_other_places(&self) -> Vec<Peer>;

    /// Returns the name of its own data centre.
    fn place(&self) -> &Place;
}

impl ConfigPeers for MembershipView {
    fn of_place(&self) -> Vec<Peer> {
        let peers = self.live_in(&self.place).map(|fact| fact.peer);
        peers.filter(|peer| peer.incarnation != self.me.incarnation).collect()
    }

    fn of_other_places(&self) -> Vec<Peer> {
        let others = self.live().filter(|fact| fact.place != self.place);
        others.map(|fact| fact.peer).collect()
    }

    fn place(&self) -> &Place {
        &self.place
    }
}
