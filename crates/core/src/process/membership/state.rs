//! The state machine of membership: driven by ticks and messages, it returns what to send.

use super::{
    Change, Event, FleetMessage, Gossip, Member, MembershipConfig, MembershipView, PlacePulses,
    Probes, Rumor, RumorQueue, Standing, Table,
};
use crate::clock::Clock;
use crate::id::{Incarnation, Place};
use crate::process::{InstanceFact, Liveness};
use crate::request::Peer;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Relays of a place.
pub const RELAYS: usize = 2;
/// What relays are drawn by.
pub(super) const RELAY_KEY: &[u8] = b"relay";
/// The most addresses to knock at that are remembered.
const MAX_SEEDS: usize = 4096;
/// Members that are told at once that this process leaves.
const TOLD_AT_ONCE: usize = 8;

/// An instance on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether the list says that it is leaving.
    pub leaving: bool,
}

/// What came of ticks and messages: to be sent, and to be noted.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send, in order. An incarnation of 0 means whoever listens there.
    pub sends: Vec<(Peer, FleetMessage)>,
    /// Changes of state.
    pub events: Vec<Event>,
}

/// The state machine of membership of one process.
#[derive(Debug)]
pub struct Membership<C> {
    pub(super) clock: C,
    pub(super) cfg: MembershipConfig,
    pub(super) me: Peer,
    pub(super) place: Place,
    pub(super) table: Table,
    pub(super) queue: RumorQueue,
    pub(super) probes: Probes,
    pub(super) pulses: PlacePulses,
    pub(super) suspicions: BTreeMap<Incarnation, (u64, Instant)>,
    pub(super) output: Output,
    pub(super) rng: StdRng,
    pub(super) sync_soon: bool,
    pub(super) seeds: VecDeque<SocketAddr>,
    listed_leaving: BTreeSet<Incarnation>,
    pub(super) next_place: usize,
    /// How many hear what this process tells, mostly; counted once a tick.
    pub(super) listeners: usize,
    pub(super) ticks: u64,
    pub(super) last_tick: Instant,
    /// Changes of what is known beside the table.
    pub(super) changes: u64,
}

impl<C: Clock> Membership<C> {
    /// A process that knows but itself. `seed` draws whom it talks to.
    pub fn new(cfg: MembershipConfig, clock: C, fact: InstanceFact, seed: u64) -> Membership<C> {
        let now = clock.now();
        let (me, place) = (fact.peer, fact.place.clone());
        let mut table = Table::new(cfg.max_members);
        table.put(Member::new(fact), now);
        let mut queue = RumorQueue::default();
        queue.push(me.incarnation, true);
        Membership {
            pulses: PlacePulses::new(place.clone(), cfg.cut_off_after),
            clock,
            cfg,
            me,
            place,
            table,
            queue,
            probes: Probes::default(),
            suspicions: BTreeMap::new(),
            output: Output::default(),
            rng: StdRng::seed_from_u64(seed),
            sync_soon: true,
            seeds: VecDeque::new(),
            listed_leaving: BTreeSet::new(),
            next_place: 0,
            listeners: 1,
            ticks: 0,
            last_tick: now,
            changes: 0,
        }
    }

    /// What this process tells of itself.
    pub fn fact(&self) -> &InstanceFact {
        &self.table.get(self.me.incarnation).expect("a process knows itself").fact
    }

    /// One member, as it is known now.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.table.get(incarnation).map(Arc::as_ref)
    }

    /// All members, as they are known now.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members().values().map(Arc::as_ref)
    }

    /// Grows with each change of what is known.
    pub fn version(&self) -> u64 {
        self.table.version() + self.changes
    }

    /// What is known now.
    pub fn view(&self) -> MembershipView {
        let (members, cut_off) = (self.table.members().clone(), self.pulses.cut_off().clone());
        MembershipView::new(self.me, self.place.clone(), members, cut_off)
            .with_listed_leaving(self.listed_leaving.clone())
    }

    /// Takes what is to be sent and noted since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Changes what this process tells of itself. Its peer, place, role and counters stay.
    pub fn change_self(&mut self, change: impl FnOnce(&mut InstanceFact)) {
        let old = self.fact().clone();
        let mut fact = old.clone();
        change(&mut fact);
        let same_profile = same_endpoints(&fact, &old)
            && fact.degraded == old.degraded
            && fact.generation == old.generation;
        let fact = InstanceFact {
            peer: old.peer,
            place: old.place.clone(),
            role: old.role,
            counter: old.counter + 1,
            profile: if same_profile { old.profile } else { old.counter + 1 },
            ..fact
        };
        self.put_self(fact, !same_profile);
    }

    /// Takes no new work from now on, and tells some at once.
    pub fn leave(&mut self) {
        if self.fact().liveness == Liveness::Live {
            self.change_self(|fact| fact.liveness = Liveness::Leaving);
            self.tell_at_once();
        }
    }

    /// Ends, and tells some at once, so that nobody has to find out.
    pub fn end(&mut self) {
        self.change_self(|fact| fact.liveness = Liveness::Gone);
        self.tell_at_once();
    }

    /// The platform's list was read: a hint of whom to knock at, and of who is to leave.
    pub fn on_list(&mut self, listed: &[Listed]) {
        let unknown = |entry: &&Listed| {
            entry.addr != self.me.addr && self.table.present_at(entry.addr).next().is_none()
        };
        let seeds = listed.iter().filter(unknown).map(|entry| entry.addr);
        self.seeds = seeds.take(MAX_SEEDS).collect();
        let leaving: BTreeSet<SocketAddr> =
            listed.iter().filter(|entry| entry.leaving).map(|entry| entry.addr).collect();
        let is_listed =
            |member: &&Arc<Member>| member.is_live() && leaving.contains(&member.fact.peer.addr);
        let found: BTreeSet<Incarnation> =
            self.table.members().values().filter(is_listed).map(|m| m.incarnation()).collect();
        for incarnation in found.difference(&self.listed_leaving.clone()) {
            let addr = self.table.get(*incarnation).map(|member| member.fact.peer.addr);
            self.note(Change::ListedLeaving, addr, "platform list", "the list says so".into());
        }
        if self.listed_leaving != found {
            self.listed_leaving = found;
            self.changes += 1;
        }
    }

    /// A link closed, or could not be opened: a hint to probe its peer now.
    pub fn on_closed(&mut self, addr: SocketAddr) {
        let Some(peer) = self.table.present_at(addr).next().map(|member| member.fact.peer) else {
            return;
        };
        if self.is_in_place(peer.incarnation) {
            if !self.probes.is_probing(peer.incarnation) {
                self.probe(peer);
            }
        } else {
            self.knock(peer);
        }
    }

    /// Random present members of the own place, this process excluded.
    pub(super) fn some_in_place(&mut self, count: usize, but: Incarnation) -> Vec<Peer> {
        let me = self.me.incarnation;
        let others = self.table.members().values().filter(|member| {
            member.is_present()
                && member.fact.place == self.place
                && ![me, but].contains(&member.incarnation())
        });
        others.map(|member| member.fact.peer).sample(&mut self.rng, count)
    }

    pub(super) fn is_in_place(&self, incarnation: Incarnation) -> bool {
        self.table.get(incarnation).is_some_and(|member| member.fact.place == self.place)
    }

    pub(super) fn send(&mut self, to: SocketAddr, message: FleetMessage) {
        self.output.sends.push((Peer { addr: to, incarnation: 0 }, message));
    }

    pub(super) fn note(
        &mut self,
        change: Change,
        peer: Option<SocketAddr>,
        step: &'static str,
        cause: String,
    ) {
        self.output.events.push(Event { change, peer, step, cause });
    }

    /// Takes a new word of this process on itself.
    pub(super) fn put_self(&mut self, fact: InstanceFact, whole: bool) {
        let now = self.clock.now();
        self.table.put(Member::new(fact), now);
        self.queue.push(self.me.incarnation, whole);
    }

    /// Changes what is held of a member's latest word.
    pub(super) fn judge(&mut self, incarnation: Incarnation, standing: Standing) {
        let Some(known) = self.table.get(incarnation) else { return };
        let member = Member { fact: known.fact.clone(), standing };
        let now = self.clock.now();
        self.table.put(member, now);
        self.queue.push(incarnation, false);
    }

    /// Starts a probe.
    pub(super) fn probe(&mut self, target: Peer) {
        let deadline = self.clock.now() + self.cfg.direct_timeout;
        let number = self.probes.start(target, deadline);
        let gossip = self.gossip_for(target.incarnation);
        self.send(target.addr, FleetMessage::Ping { number, gossip });
    }

    /// Pings a process without waiting for the answer; incarnation 0: whoever is there.
    pub(super) fn knock(&mut self, peer: Peer) {
        let number = self.probes.draw();
        let gossip = self.gossip_for(peer.incarnation);
        self.send(peer.addr, FleetMessage::Ping { number, gossip });
    }

    fn tell_at_once(&mut self) {
        let mut told = self.some_in_place(TOLD_AT_ONCE, 0);
        for place in self.other_places() {
            told.extend(self.relays_of(&place));
        }
        for peer in told {
            let gossip = self.gossip_for(peer.incarnation);
            self.send(peer.addr, FleetMessage::News { gossip });
        }
    }

    /// How many hear what this process tells, mostly: its own place.
    pub(super) fn count_listeners(&self) -> usize {
        let present = self.table.members().values().filter(|member| member.is_present());
        present.filter(|member| member.fact.place == self.place).count()
    }

    /// What may ride on a probe to a member.
    pub(super) fn gossip_for(&mut self, to: Incarnation) -> Gossip {
        self.gossip_up_to(to, super::MAX_GOSSIP_BYTES)
    }

    fn gossip_up_to(&mut self, to: Incarnation, most: usize) -> Gossip {
        let pulses = self.pulses.numbers();
        let mut rumors = Vec::new();
        let mut room = most;
        let doubted = self.table.get(to).filter(|member| member.standing != Standing::Trusted);
        if let Some(member) = doubted {
            let rumor = Rumor::Brief(super::Brief::new(member));
            room = room.saturating_sub(rumor.size());
            rumors.push(rumor);
        }
        let (table, listeners) = (&self.table, self.listeners);
        self.queue.tell(listeners, |incarnation, whole| {
            let Some(member) = table.get(incarnation) else { return true };
            let mut rumor = Rumor::Brief(super::Brief::new(member));
            if whole {
                let all = Rumor::Whole(Member::clone(member));
                rumor = if all.size() > most { rumor } else { all };
            }
            let Some(left) = room.checked_sub(rumor.size()) else { return false };
            room = left;
            rumors.push(rumor);
            true
        });
        Gossip { rumors, pulses }
    }
}

/// Whether the endpoints are the same but for their load.
fn same_endpoints(one: &InstanceFact, other: &InstanceFact) -> bool {
    let mut pairs = one.endpoints.iter().zip(&other.endpoints);
    one.endpoints.len() == other.endpoints.len() && pairs.all(|(a, b)| a.is_same_but_for_load(b))
}
