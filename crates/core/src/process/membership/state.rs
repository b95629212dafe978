//! The state machine of membership: driven by ticks and messages, it returns the messages to send.

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

/// Number of relays of a place.
pub const RELAYS: usize = 2;
/// Key by which rendezvous hashing selects relays.
pub(super) const RELAY_KEY: &[u8] = b"relay";
/// Maximum number of remembered addresses of listed instances to ping.
const MAX_SEEDS: usize = 4096;
/// Number of members of the own place that are notified at once when this process leaves or ends.
const ANNOUNCE_COUNT: usize = 8;

/// An instance on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether the list marks it as leaving.
    pub leaving: bool,
}

/// Messages to send and events to log, as the result of ticks and messages.
#[derive(Debug, Default)]
pub struct Output {
    /// Messages to send, in order. An incarnation of 0 addresses any process that listens there.
    pub sends: Vec<(Peer, FleetMessage)>,
    /// Changes of state.
    pub events: Vec<Event>,
}

/// State machine of membership of one process.
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
    /// Number of members that the rumors of this process reach, approximately; counted once per tick.
    pub(super) listeners: usize,
    pub(super) ticks: u64,
    pub(super) last_tick: Instant,
    /// Number of changes of the state outside the table.
    pub(super) changes: u64,
}

impl<C: Clock> Membership<C> {
    /// Creates the state of a process that knows only itself. `seed` seeds the random choice of peers.
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

    /// Returns the report of this process on itself.
    pub fn fact(&self) -> &InstanceFact {
        &self.table.get(self.me.incarnation).expect("a process knows itself").fact
    }

    /// Returns one member.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Member> {
        self.table.get(incarnation).map(Arc::as_ref)
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.members().values().map(Arc::as_ref)
    }

    /// Returns a version number that grows with each change.
    pub fn version(&self) -> u64 {
        self.table.version() + self.changes
    }

    /// Returns a snapshot of the current state.
    pub fn view(&self) -> MembershipView {
        let (members, cut_off) = (self.table.members().clone(), self.pulses.cut_off().clone());
        MembershipView::new(self.me, self.place.clone(), members, cut_off)
            .with_listed_leaving(self.listed_leaving.clone())
    }

    /// Returns the messages and events since the last call.
    pub fn take_output(&mut self) -> Output {
        std::mem::take(&mut self.output)
    }

    /// Changes the report of this process on itself. Peer, place and role stay; counter and
    /// profile are computed here.
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

    /// Marks this process as leaving, so that it takes no new work, and notifies some members at once.
    pub fn leave(&mut self) {
        if self.fact().liveness == Liveness::Live {
            self.change_self(|fact| fact.liveness = Liveness::Leaving);
            self.announce();
        }
    }

    /// Marks this process as gone and notifies some members at once, so that no failure detection is needed.
    pub fn end(&mut self) {
        self.change_self(|fact| fact.liveness = Liveness::Gone);
        self.announce();
    }

    /// Handles a read of the platform's list: a hint which addresses to ping and which members are to leave.
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
            self.note(
                Change::ListedLeaving,
                addr,
                "platform list",
                "the list marks it as leaving".into(),
            );
        }
        if self.listed_leaving != found {
            self.listed_leaving = found;
            self.changes += 1;
        }
    }

    /// Handles a link that closed or could not be opened: a hint to probe its peer now.
    pub fn on_closed(&mut self, addr: SocketAddr) {
        let Some(peer) = self.table.present_at(addr).next().map(|member| member.fact.peer) else {
            return;
        };
        if self.is_in_place(peer.incarnation) {
            if !self.probes.is_probing(peer.incarnation) {
                self.probe(peer);
            }
        } else {
            self.ping_once(peer);
        }
    }

    /// Returns random present members of the own place, without this process and `except`.
    pub(super) fn some_in_place(&mut self, count: usize, except: Incarnation) -> Vec<Peer> {
        let me = self.me.incarnation;
        let others = self.table.members().values().filter(|member| {
            member.is_present()
                && member.fact.place == self.place
                && ![me, except].contains(&member.incarnation())
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

    /// Stores and queues a new report of this process on itself.
    pub(super) fn put_self(&mut self, fact: InstanceFact, whole: bool) {
        let now = self.clock.now();
        self.table.put(Member::new(fact), now);
        self.queue.push(self.me.incarnation, whole);
    }

    /// Changes the standing of a member at its latest counter.
    pub(super) fn set_standing(&mut self, incarnation: Incarnation, standing: Standing) {
        let Some(known) = self.table.get(incarnation) else { return };
        let member = Member { fact: known.fact.clone(), standing };
        let now = self.clock.now();
        self.table.put(member, now);
        self.queue.push(incarnation, false);
    }

    /// Starts a probe: sends a ping and waits for the answer.
    pub(super) fn probe(&mut self, target: Peer) {
        let deadline = self.clock.now() + self.cfg.direct_timeout;
        let number = self.probes.start(target, deadline);
        let gossip = self.gossip_for(target.incarnation);
        self.send(target.addr, FleetMessage::Ping { number, gossip });
    }

    /// Pings a process without waiting for the answer. Incarnation 0 addresses any process there.
    pub(super) fn ping_once(&mut self, peer: Peer) {
        let number = self.probes.new_number();
        let gossip = self.gossip_for(peer.incarnation);
        self.send(peer.addr, FleetMessage::Ping { number, gossip });
    }

    fn announce(&mut self) {
        let mut announced_to = self.some_in_place(ANNOUNCE_COUNT, 0);
        for place in self.other_places() {
            announced_to.extend(self.relays_of(&place));
        }
        for peer in announced_to {
            let gossip = self.gossip_for(peer.incarnation);
            self.send(peer.addr, FleetMessage::News { gossip });
        }
    }

    /// Counts the members that the rumors of this process reach, approximately: the present ones of its own place.
    pub(super) fn count_listeners(&self) -> usize {
        let present = self.table.members().values().filter(|member| member.is_present());
        present.filter(|member| member.fact.place == self.place).count()
    }

    /// Returns the gossip to piggyback on a probe to a member.
    pub(super) fn gossip_for(&mut self, to: Incarnation) -> Gossip {
        self.gossip_up_to(to, super::MAX_GOSSIP_BYTES)
    }

    fn gossip_up_to(&mut self, to: Incarnation, max_bytes: usize) -> Gossip {
        let pulses = self.pulses.numbers();
        let mut rumors = Vec::new();
        let mut bytes_left = max_bytes;
        let distrusted = self.table.get(to).filter(|member| member.standing != Standing::Trusted);
        if let Some(member) = distrusted {
            let rumor = Rumor::Brief(super::Brief::new(member));
            bytes_left = bytes_left.saturating_sub(rumor.size());
            rumors.push(rumor);
        }
        let (table, listeners) = (&self.table, self.listeners);
        self.queue.take_next(listeners, |incarnation, whole| {
            let Some(member) = table.get(incarnation) else { return true };
            let mut rumor = Rumor::Brief(super::Brief::new(member));
            if whole {
                let all = Rumor::Whole(Member::clone(member));
                rumor = if all.size() > max_bytes { rumor } else { all };
            }
            let Some(left) = bytes_left.checked_sub(rumor.size()) else { return false };
            bytes_left = left;
            rumors.push(rumor);
            true
        });
        Gossip { rumors, pulses }
    }
}

/// Returns whether the endpoints are equal except for their load.
fn same_endpoints(one: &InstanceFact, other: &InstanceFact) -> bool {
    let mut pairs = one.endpoints.iter().zip(&other.endpoints);
    one.endpoints.len() == other.endpoints.len() && pairs.all(|(a, b)| a.is_same_but_for_load(b))
}
