//! The peers of a daemon, as far as the spread of configuration needs to know them.

use crate::id::Place;
use crate::process::membership::MembershipView;
use crate::request::Peer;

/// The live peers of a daemon; itself is not among them.
pub trait ConfigPeers {
    /// Those of its own place.
    fn of_place(&self) -> Vec<Peer>;

    /// Those of other places, or some of them.
    fn of_other_places(&self) -> Vec<Peer>;

    /// The name of its own place.
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
