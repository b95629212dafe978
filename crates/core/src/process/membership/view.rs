//! The members as they are known at one moment, to be read without a lock.

use crate::id::{Incarnation, Place};
use crate::process::membership::{Member, RELAY_KEY, RELAYS, rendezvous, rendezvous_several};
use crate::process::{DaemonRole, InstanceFact};
use crate::request::Peer;
use rand::Rng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The members as they are known at one moment. It is replaced whole when something changes, so a
/// reader may keep it as long as it likes.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The process that knows this.
    pub me: Peer,
    /// Its place.
    pub place: Place,
    /// Members by incarnation, the process itself included.
    members: BTreeMap<Incarnation, Arc<Member>>,
    /// Places from which nothing has come for a while; their members are as they were last known.
    cut_off: BTreeSet<Place>,
    /// Live members that the platform's list tells to leave.
    listed_leaving: BTreeSet<Incarnation>,
}

impl MembershipView {
    /// A view of `members`.
    pub fn new(
        me: Peer,
        place: Place,
        members: BTreeMap<Incarnation, Arc<Member>>,
        cut_off: BTreeSet<Place>,
    ) -> MembershipView {
        MembershipView { me, place, members, cut_off, listed_leaving: BTreeSet::new() }
    }

    /// Adds the hint of who is to leave.
    pub fn with_listed_leaving(mut self, listed_leaving: BTreeSet<Incarnation>) -> MembershipView {
        self.listed_leaving = listed_leaving;
        self
    }

    /// Whether the platform's list tells a live member to leave: give it work only if nobody else is.
    pub fn is_listed_leaving(&self, incarnation: Incarnation) -> bool {
        self.listed_leaving.contains(&incarnation)
    }

    /// All members known, the gone and the process itself included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(Arc::as_ref)
    }

    /// The member of an incarnation.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Arc<Member>> {
        self.members.get(&incarnation)
    }

    /// The present member that listens at `addr`.
    pub fn at(&self, addr: SocketAddr) -> Option<&Arc<Member>> {
        let mut present = self.members.values().filter(|member| member.is_present());
        present.find(|member| member.fact.peer.addr == addr)
    }

    /// Places from which nothing has come for a while.
    pub fn cut_off(&self) -> &BTreeSet<Place> {
        &self.cut_off
    }

    /// The members that take new work, the process itself included. This is whom rendezvous hashing
    /// may name.
    pub fn live(&self) -> impl Iterator<Item = &InstanceFact> {
        let reachable = |member: &&Arc<Member>| !self.cut_off.contains(member.place());
        let live = self.members.values().filter(|member| member.is_live());
        live.filter(reachable).map(|member| &member.fact)
    }

    /// The live members of one role.
    pub fn live_as(&self, role: DaemonRole) -> impl Iterator<Item = &InstanceFact> {
        self.live().filter(move |fact| fact.role == role)
    }

    /// The live members of one place.
    pub fn live_in(&self, place: &str) -> impl Iterator<Item = &InstanceFact> {
        self.live().filter(move |fact| fact.place == place)
    }

    /// Random live members of the own place, the process itself excluded.
    pub fn some_in_place(&self, rng: &mut impl Rng, count: usize) -> Vec<Peer> {
        let others = self.live_in(&self.place).map(|fact| fact.peer);
        others.filter(|peer| *peer != self.me).sample(rng, count)
    }

    /// A relay of each other place that is not cut off.
    pub fn relays_elsewhere(&self, rng: &mut impl Rng) -> Vec<Peer> {
        let places: BTreeSet<&Place> = self.live().map(|fact| &fact.place).collect();
        let others = places.into_iter().filter(|place| **place != self.place);
        let relay = |place: &Place| self.named_in(RELAY_KEY, place, RELAYS).into_iter().choose(rng);
        others.filter_map(relay).collect()
    }

    /// The live member of a role that rendezvous hashing names for a key.
    pub fn named(&self, key: &[u8], role: DaemonRole) -> Option<Peer> {
        let found = rendezvous(key, self.live_as(role).map(|fact| fact.peer.incarnation))?;
        self.members.get(&found).map(|member| member.fact.peer)
    }

    /// The first `count` live members of a place for a key.
    pub fn named_in(&self, key: &[u8], place: &str, count: usize) -> Vec<Peer> {
        let candidates = self.live_in(place).map(|fact| fact.peer.incarnation);
        let found = rendezvous_several(key, candidates, count);
        let peer = |incarnation| self.members.get(incarnation).map(|member| member.fact.peer);
        found.iter().filter_map(peer).collect()
    }
}
