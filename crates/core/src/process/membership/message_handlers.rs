//! Handlers of the messages of membership.

use super::{
    Brief, Change, Digest, FleetMessage, Gossip, MAX_SYNC_BYTES, MAX_WANTED, Member, Membership,
    Merged, Rumor, Standing,
};
use crate::clock::Clock;
use crate::id::Incarnation;
use crate::process::{InstanceFact, Liveness};
use crate::request::Peer;
use rand::RngExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Maximum encoded size of the rumors in an answer to a digest, in bytes.
const MAX_DIFFERENCES_BYTES: usize = 2_000;

impl<C: Clock> Membership<C> {
    /// Handles a message.
    pub fn on_message(&mut self, from: Peer, message: FleetMessage) {
        self.record_contact(from);
        match message {
            FleetMessage::Ping { number, gossip } => {
                self.merge_gossip(from, &gossip);
                let (of, gossip) = (self.me, self.gossip_for(from.incarnation));
                self.send(from.addr, FleetMessage::Ack { number, of, gossip });
            }
            FleetMessage::Ack { number, of, gossip } => {
                self.merge_gossip(from, &gossip);
                self.on_ack(number, of);
            }
            FleetMessage::PingFor { number, target, gossip } => {
                self.merge_gossip(from, &gossip);
                let number = self.probes.add_relayed(from, number);
                let known = self.table.present_at(target).next();
                let incarnation = known.map_or(0, |member| member.incarnation());
                let gossip = self.gossip_for(incarnation);
                self.send(target, FleetMessage::Ping { number, gossip });
            }
            FleetMessage::Digest { digest, gossip } => {
                self.merge_gossip(from, &gossip);
                self.on_digest(from, &digest);
            }
            FleetMessage::Differences { digest, gossip } => {
                self.on_differences(from, &digest, &gossip);
            }
            FleetMessage::Want { incarnations } => self.on_want(from, &incarnations),
            FleetMessage::News { gossip } => self.merge_gossip(from, &gossip),
        }
    }

    /// Records that the place of a sender is reachable; requests the sender's fact if it is unknown.
    fn record_contact(&mut self, from: Peer) {
        let now = self.clock.now();
        match self.table.get(from.incarnation) {
            Some(member) => {
                let place = member.fact.place.clone();
                self.pulses.record_contact(&place, now);
            }
            None => self.request_members(from, vec![from.incarnation]),
        }
    }

    fn request_members(&mut self, to: Peer, mut incarnations: Vec<Incarnation>) {
        incarnations.truncate(MAX_WANTED);
        self.send(to.addr, FleetMessage::Want { incarnations });
    }

    fn on_ack(&mut self, number: u64, of: Peer) {
        if let Some(relayed) = self.probes.take_relayed(number) {
            let gossip = self.gossip_for(relayed.requester.incarnation);
            let answer = FleetMessage::Ack { number: relayed.number, of, gossip };
            return self.send(relayed.requester.addr, answer);
        }
        let Some(probe) = self.probes.finish(number) else { return };
        let target = probe.target;
        if of.addr == target.addr && of.incarnation != target.incarnation {
            self.supersede(target.incarnation, "another incarnation answered at its address");
        }
    }

    fn on_digest(&mut self, from: Peer, theirs: &Digest) {
        let mut gossip = self.gossip_for(from.incarnation);
        let differing = self.table.differing(theirs);
        let briefs = differing.iter().map(|member| Rumor::Brief(Brief::new(member)));
        let briefs: Vec<Rumor> = briefs.collect();
        self.add_rumors(&mut gossip, briefs, MAX_DIFFERENCES_BYTES);
        let digest = self.table.digest().clone();
        self.send(from.addr, FleetMessage::Differences { digest, gossip });
    }

    /// Merges the members that differ and sends back those that the sender lacks or holds in an older state.
    fn on_differences(&mut self, from: Peer, theirs: &Digest, gossip: &Gossip) {
        let known_ranks: BTreeMap<_, _> =
            gossip.rumors.iter().map(|rumor| (rumor.incarnation(), rumor.rank())).collect();
        let is_newer = |member: &&Arc<Member>| {
            known_ranks.get(&member.incarnation()).is_none_or(|rank| *rank < member.rank())
        };
        let differing = self.table.differing(theirs).into_iter().filter(is_newer);
        let briefs: Vec<Rumor> = differing.map(|member| Rumor::Brief(Brief::new(member))).collect();
        self.merge_gossip(from, gossip);
        if briefs.is_empty() {
            return;
        }
        let mut gossip = Gossip::default();
        self.add_rumors(&mut gossip, briefs, MAX_DIFFERENCES_BYTES);
        self.send(from.addr, FleetMessage::News { gossip });
    }

    /// Adds rumors up to `max_bytes`. Starts at a random one, so that none is always left out.
    fn add_rumors(&mut self, gossip: &mut Gossip, mut rumors: Vec<Rumor>, max_bytes: usize) {
        if rumors.is_empty() {
            return;
        }
        let start = self.rng.random_range(0..rumors.len());
        rumors.rotate_left(start);
        let mut bytes_left = max_bytes;
        for rumor in rumors {
            let Some(left) = bytes_left.checked_sub(rumor.size()) else {
                self.sync_soon = true;
                return;
            };
            bytes_left = left;
            gossip.rumors.push(rumor);
        }
    }

    fn on_want(&mut self, from: Peer, incarnations: &[Incarnation]) {
        let wanted = incarnations.iter().take(MAX_WANTED);
        let known = wanted.filter_map(|incarnation| self.table.get(*incarnation));
        let rumors: Vec<Rumor> = known.map(|member| Rumor::Whole(Member::clone(member))).collect();
        let mut gossip = Gossip::default();
        self.add_rumors(&mut gossip, rumors, MAX_SYNC_BYTES);
        self.send(from.addr, FleetMessage::News { gossip });
    }

    /// Merges gossip; requests members that were reported as a `Brief` of an unknown incarnation or profile.
    fn merge_gossip(&mut self, from: Peer, gossip: &Gossip) {
        let now = self.clock.now();
        self.pulses.merge(&gossip.pulses, now);
        let mut wanted = Vec::new();
        for rumor in &gossip.rumors {
            if rumor.incarnation() == self.me.incarnation {
                self.on_rumor_of_self(from, rumor);
                continue;
            }
            if self.is_from_expired_place(rumor, now) {
                continue;
            }
            match self.table.merge(rumor, now) {
                Merged::Unchanged => {}
                Merged::NeedsWhole => wanted.push(rumor.incarnation()),
                Merged::Full => {
                    let cause = format!("{} members are known", self.table.members().len());
                    self.note(Change::TableFull, Some(from.addr), "gossip", cause);
                }
                Merged::Changed { before, after } => self.on_change(from, before, &after),
            }
        }
        if !wanted.is_empty() {
            self.request_members(from, wanted);
        }
    }

    /// Returns whether a rumor adds an unknown member of an expired place. Others forget that place at
    /// other times and still report its members.
    fn is_from_expired_place(&self, rumor: &Rumor, now: Instant) -> bool {
        match rumor {
            Rumor::Whole(member) if self.table.get(member.incarnation()).is_none() => {
                self.is_place_expired(member.place(), now)
            }
            _ => false,
        }
    }

    /// Refutes a suspicion of this process with a higher counter.
    fn on_rumor_of_self(&mut self, from: Peer, rumor: &Rumor) {
        let (counter, standing) = rumor.rank();
        let own_counter = self.fact().counter;
        if counter < own_counter || (counter == own_counter && standing == Standing::Trusted) {
            return;
        }
        let fact = InstanceFact { counter: counter + 1, ..self.fact().clone() };
        self.put_self(fact, false);
        let cause =
            format!("{} reported this process as {standing:?} at counter {counter}", from.addr);
        self.note(Change::RefutedSelf, Some(from.addr), "gossip", cause);
    }

    fn on_change(&mut self, from: Peer, before: Option<Arc<Member>>, after: &Arc<Member>) {
        let incarnation = after.incarnation();
        let whole = before.as_ref().is_none_or(|old| old.fact.profile != after.fact.profile);
        self.queue.push(incarnation, whole);
        if after.standing == Standing::Suspected && after.fact.place == self.place {
            let deadline = self.clock.now() + self.cfg.suspicion;
            self.suspicions.insert(incarnation, (after.fact.counter, deadline));
        } else {
            self.suspicions.remove(&incarnation);
        }
        self.note_change(from, before.as_deref(), after);
        let was_present = before.is_some_and(|old| old.is_present());
        if after.is_present() && !was_present {
            self.resolve_address(after.fact.peer.addr);
        }
    }

    fn note_change(&mut self, from: Peer, before: Option<&Member>, after: &Member) {
        let change = match before {
            None => Change::Joined,
            Some(old) if old.is_present() && !after.is_present() => Change::Gone,
            Some(old) if !old.is_present() && after.is_present() => Change::Returned,
            Some(old) if old.standing < after.standing => Change::Suspected,
            Some(old) if old.standing > after.standing => Change::Refuted,
            Some(old) if old.fact.liveness != after.fact.liveness => Change::Leaving,
            Some(_) => return,
        };
        let fact = &after.fact;
        let cause = format!(
            "reported by {}: {:?} of {}, {:?} and {:?} at counter {}",
            from.addr, fact.role, fact.place, fact.liveness, after.standing, fact.counter
        );
        self.note(change, Some(fact.peer.addr), "gossip", cause);
    }

    /// Supersedes all incarnations at an address but the one of the highest generation, which listens there now.
    fn resolve_address(&mut self, addr: SocketAddr) {
        let order = |member: &&Arc<Member>| (member.fact.generation, member.incarnation());
        let mut rivals: Vec<_> = self.table.present_at(addr).collect();
        rivals.sort_by_key(order);
        let Some(highest) = rivals.pop() else { return };
        let generation = highest.fact.generation;
        let rivals: Vec<Incarnation> = rivals.iter().map(|member| member.incarnation()).collect();
        if addr == self.me.addr {
            return self.supersede_at_own_address(generation);
        }
        for rival in rivals {
            self.supersede(rival, "a later start of the process listens there");
        }
    }

    /// Supersedes all other incarnations at the own address, with a higher generation than theirs: only this
    /// process can listen there.
    fn supersede_at_own_address(&mut self, generation: u64) {
        let me = self.me.incarnation;
        let others = self.table.present_at(self.me.addr).map(|member| member.incarnation());
        let others: Vec<Incarnation> = others.filter(|other| *other != me).collect();
        if others.is_empty() {
            return;
        }
        let generation = self.fact().generation.max(generation + 1);
        self.change_self(|fact| fact.generation = generation);
        for other in others {
            self.supersede(other, "this process listens there now");
        }
    }

    fn supersede(&mut self, incarnation: Incarnation, cause: &str) {
        let Some(member) = self.table.get(incarnation) else { return };
        if member.standing == Standing::Gone || member.fact.liveness == Liveness::Gone {
            return;
        }
        let addr = member.fact.peer.addr;
        self.set_standing(incarnation, Standing::Gone);
        self.note(Change::Superseded, Some(addr), "address", cause.to_owned());
    }
}
