//! Immutable snapshot of the members, read without a lock.

use crate::id::{Incarnation, Place};
use crate::process::membership::{Member, RELAY_KEY, RELAYS, rendezvous, rendezvous_several};
use crate::process::{DaemonRole, InstanceFact};
use crate::request::Peer;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Immutable snapshot of the members. A change replaces it as a whole, so a reader may keep it
/// for any time.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The process that holds this view.
    pub me: Peer,
    /// Its place.
    pub place: Place,
    /// Members by incarnation, including the process itself.
    members: BTreeMap<Incarnation, Arc<Member>>,
    /// Places that have been silent for too long; their members keep their last known state.
    cut_off: BTreeSet<Place>,
    /// Live members that the platform's list marks as leaving.
    listed_leaving: BTreeSet<Incarnation>,
}

impl MembershipView {
    /// Creates a view of `members`.
    pub fn new(
        me: Peer,
        place: Place,
        members: BTreeMap<Incarnation, Arc<Member>>,
        cut_off: BTreeSet<Place>,
    ) -> MembershipView {
        MembershipView { me, place, members, cut_off, listed_leaving: BTreeSet::new() }
    }

    /// Sets the members that the platform's list marks as leaving.
    pub fn with_listed_leaving(mut self, listed_leaving: BTreeSet<Incarnation>) -> MembershipView {
        self.listed_leaving = listed_leaving;
        self
    }

    /// Returns whether the platform's list marks a live member as leaving: it gets work only if no other
    /// member can take it.
    pub fn is_listed_leaving(&self, incarnation: Incarnation) -> bool {
        self.listed_leaving.contains(&incarnation)
    }

    /// Returns all known members, including gone ones and the process itself.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(Arc::as_ref)
    }

    /// Returns the member of an incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Arc<Member>> {
        self.members.get(&incarnation)
    }

    /// Returns the present member that listens at `addr`.
    pub fn at(&self, addr: SocketAddr) -> Option<&Arc<Member>> {
        let mut present = self.members.values().filter(|member| member.is_present());
        present.find(|member| member.fact.peer.addr == addr)
    }

    /// Returns the places that have been silent for too long.
    pub fn cut_off(&self) -> &BTreeSet<Place> {
        &self.cut_off
    }

    /// Returns the members that take new work, including the process itself. These are the candidates
    /// for rendezvous hashing.
    pub fn live(&self) -> impl Iterator<Item = &InstanceFact> {
        let reachable = |member: &&Arc<Member>| !self.cut_off.contains(member.place());
        let live = self.members.values().filter(|member| member.is_live());
        live.filter(reachable).map(|member| &member.fact)
    }

    /// Returns the live members of one role.
    pub fn live_as(&self, role: DaemonRole) -> impl Iterator<Item = &InstanceFact> {
        self.live().filter(move |fact| fact.role == role)
    }

    /// Returns the live members of one place.
    pub fn live_in(&self, place: &str) -> impl Iterator<Item = &InstanceFact> {
        self.live().filter(move |fact| fact.place == place)
    }

    /// Returns random live members of the own place, without the process itself.
    pub fn some_in_place(&self, rng: &mut impl Rng, count: usize) -> Vec<Peer> {
        let others = self.live_in(&self.place).map(|fact| fact.peer);
        others.filter(|peer| *peer != self.me).sample(rng, count)
    }

    /// Returns a random relay of each other place that is not cut off.
    pub fn relays_elsewhere(&self, rng: &mut impl Rng) -> Vec<Peer> {
        let places: BTreeSet<&Place> = self.live().map(|fact| &fact.place).collect();
        let others = places.into_iter().filter(|place| **place != self.place);
        let relay = |place: &Place| self.named_in(RELAY_KEY, place, RELAYS).into_iter().choose(rng);
        others.filter_map(relay).collect()
    }

    /// Returns the live member of a role that rendezvous hashing selects for a key.
    pub fn named(&self, key: &[u8], role: DaemonRole) -> Option<Peer> {
        let found = rendezvous(key, self.live_as(role).map(|fact| fact.peer.incarnation))?;
        self.members.get(&found).map(|member| member.fact.peer)
    }

    /// Returns the first `count` live members of a place that rendezvous hashing selects for a key.
    pub fn named_in(&self, key: &[u8], place: &str, count: usize) -> Vec<Peer> {
        let candidates = self.live_in(place).map(|fact| fact.peer.incarnation);
        let found = rendezvous_several(key, candidates, count);
        let peer = |incarnation| self.members.get(incarnation).map(|member| member.fact.peer);
        found.iter().filter_map(peer).collect()
    }
}
