//! Simulation of many members over an unreliable network, on a paused clock.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::membership::{
    Event, FleetMessage, Listed, Membership, MembershipConfig, Standing,
};
use sorrellock_core::process::{DaemonRole, EndpointFact, InstanceFact, Liveness, Role};
use sorrellock_core::request::{LayerRange, Peer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Ticks per second with the default settings.
pub const TICKS_PER_S: usize = 4;
/// Maximum number of messages that wait at a paused process; the network drops the rest.
const PAUSED_INBOX: usize = 2_000;
/// Size of the envelope of a message in bytes.
const ENVELOPE_BYTES: usize = 40;

/// One process at one address.
pub struct Node {
    pub membership: Membership<ManualClock>,
    pub peer: Peer,
    pub place: usize,
    pub running: bool,
    pub paused: bool,
    pub leaving: bool,
    /// The half it belongs to while its place is split; messages between halves are lost.
    pub half: bool,
    inbox: VecDeque<(Peer, FleetMessage)>,
    ranks: BTreeMap<Incarnation, (u64, Standing)>,
}

/// Many members over a network that delays, loses and blocks messages.
pub struct FleetSim {
    pub clock: ManualClock,
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub cut_places: BTreeSet<usize>,
    pub split_places: BTreeSet<usize>,
    pub list_works: bool,
    /// Pairs of processes that can't reach each other directly, the lower index first.
    pub broken: BTreeSet<(usize, usize)>,
    /// Bytes and messages sent by all processes since a test last reset the counters.
    pub bytes: u64,
    pub messages: u64,
    pub largest: usize,
    pub events: Vec<(Incarnation, Event)>,
    wire: Vec<(usize, SocketAddr, FleetMessage)>,
    ticks: u64,
    lists: VecDeque<Vec<Listed>>,
    rng: StdRng,
}

impl FleetSim {
    /// Creates a simulation without processes.
    pub fn new(seed: u64) -> FleetSim {
        FleetSim {
            clock: ManualClock::new(),
            nodes: Vec::new(),
            loss: 0.0,
            cut_places: BTreeSet::new(),
            split_places: BTreeSet::new(),
            list_works: true,
            broken: BTreeSet::new(),
            bytes: 0,
            messages: 0,
            largest: 0,
            events: Vec::new(),
            wire: Vec::new(),
            ticks: 0,
            lists: VecDeque::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Creates a fleet of `size` processes in `places` places and gives it 60 ticks to
    /// exchange its members.
    pub fn started(seed: u64, size: usize, places: usize) -> FleetSim {
        let mut sim = FleetSim::new(seed);
        for number in 0..size {
            sim.join(number % places);
        }
        sim.run(60);
        sim
    }

    /// Starts a process at a new address and returns its index.
    pub fn join(&mut self, place: usize) -> usize {
        let index = self.nodes.len();
        let port = 10_000 + index;
        let addr = SocketAddr::from(([10, 0, (port >> 8) as u8, port as u8], 7000));
        let node = self.new_node(addr, place, 1);
        self.nodes.push(node);
        index
    }

    /// Kills a process and starts another one at its address.
    pub fn restart(&mut self, index: usize) {
        let old = &self.nodes[index];
        let (addr, place, half) = (old.peer.addr, old.place, old.half);
        let generation = old.membership.fact().generation;
        // The clocks of machines may jump: in one of four cases the later start has the lower generation.
        let generation = if self.rng.random_range(0..4) == 0 { 1 } else { generation + 1 };
        self.nodes[index] = Node { half, ..self.new_node(addr, place, generation) };
    }

    fn new_node(&mut self, addr: SocketAddr, place: usize, generation: u64) -> Node {
        let peer = Peer { addr, incarnation: self.rng.random_range(1..u64::MAX) };
        let fact = fact(peer, place, generation);
        let cfg = MembershipConfig::new();
        let membership = Membership::new(cfg, self.clock.clone(), fact, self.rng.random());
        Node {
            membership,
            peer,
            place,
            running: true,
            paused: false,
            leaving: false,
            half: self.rng.random(),
            inbox: VecDeque::new(),
            ranks: BTreeMap::new(),
        }
    }

    /// Pauses a process.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    /// Resumes a process, which then receives the messages that arrived meanwhile.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
    }

    /// Kills a process.
    pub fn kill(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.running = false;
        node.inbox.clear();
    }

    /// Marks a process as leaving, if it runs and is not paused.
    pub fn leave(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.running && !node.paused {
            node.leaving = true;
            node.membership.leave();
            self.collect(index);
        }
    }

    /// Ends all faults of the network and resumes all paused processes.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.cut_places.clear();
        self.split_places.clear();
        self.list_works = true;
        self.nodes.iter_mut().for_each(|node| node.paused = false);
    }

    /// Runs for a number of ticks.
    pub fn run(&mut self, ticks: usize) {
        (0..ticks).for_each(|_| self.tick());
    }

    /// Runs until all views equal the truth and returns the number of ticks, or none after `max_ticks`.
    pub fn run_until_agreed(&mut self, max_ticks: usize) -> Option<usize> {
        for ticks in 0..=max_ticks {
            if self.disagreement().is_none() {
                return Some(ticks);
            }
            self.tick();
        }
        None
    }

    /// Returns the processes that run and take work.
    pub fn truth(&self) -> BTreeSet<Incarnation> {
        let live = self.nodes.iter().filter(|node| node.running && !node.leaving);
        live.map(|node| node.peer.incarnation).collect()
    }

    /// Describes a process whose view differs from the truth.
    pub fn disagreement(&self) -> Option<String> {
        let truth = self.truth();
        for node in self.nodes.iter().filter(|node| node.running && !node.paused) {
            let view = node.membership.view();
            let live: BTreeSet<Incarnation> =
                view.live().map(|fact| fact.peer.incarnation).collect();
            if live != truth {
                let missing: Vec<_> = truth.difference(&live).collect();
                let extra: Vec<_> = live.difference(&truth).collect();
                return Some(format!(
                    "{} of place {}: missing {missing:?}, extra {extra:?}, cut off {:?}",
                    node.peer.incarnation,
                    node.place,
                    view.cut_off()
                ));
            }
        }
        None
    }

    /// Simulates one interval: reads of the list, ticks of all processes and deliveries of messages.
    pub fn tick(&mut self) {
        self.clock.advance(MembershipConfig::INTERVAL);
        self.ticks += 1;
        self.publish_list();
        for index in 0..self.nodes.len() {
            self.receive_all(index);
            if self.nodes[index].running && !self.nodes[index].paused {
                self.nodes[index].membership.tick();
                self.collect(index);
            }
        }
        // A few round trips fit into an interval.
        for _ in 0..6 {
            self.deliver();
        }
        self.check_ranks();
    }

    /// Publishes the list with a lag of some seconds. Each process reads it every two seconds, or in each tick while it
    /// knows nobody else.
    fn publish_list(&mut self) {
        let shown = self.nodes.iter().filter(|node| node.running);
        let listed = shown.map(|node| Listed { addr: node.peer.addr, leaving: node.leaving });
        let listed: Vec<Listed> = listed.collect();
        self.lists.push_back(listed);
        if self.lists.len() > 5 * TICKS_PER_S {
            self.lists.pop_front();
        }
        if !self.list_works {
            return;
        }
        let Some(list) = self.lists.front().cloned() else { return };
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let turn = (self.ticks as usize + index).is_multiple_of(2 * TICKS_PER_S);
            let alone = node.membership.view().members().count() <= 1;
            if node.running && !node.paused && (turn || alone) {
                node.membership.on_list(&list);
            }
        }
    }

    fn collect(&mut self, index: usize) {
        let output = self.nodes[index].membership.take_output();
        let incarnation = self.nodes[index].peer.incarnation;
        self.events.extend(output.events.into_iter().map(|event| (incarnation, event)));
        for (to, message) in output.sends {
            let size = ENVELOPE_BYTES + message.size();
            self.bytes += size as u64;
            self.messages += 1;
            self.largest = self.largest.max(size);
            self.wire.push((index, to.addr, message));
        }
    }

    fn deliver(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.wire) {
            let Some(index) = self.nodes.iter().position(|node| node.peer.addr == to) else {
                continue;
            };
            if self.rng.random_bool(self.loss) || !self.is_connected(from, index) {
                continue;
            }
            let peer = self.nodes[from].peer;
            let node = &mut self.nodes[index];
            if node.running && node.inbox.len() < PAUSED_INBOX {
                node.inbox.push_back((peer, message));
            }
        }
        (0..self.nodes.len()).for_each(|index| self.receive_all(index));
    }

    fn receive_all(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if node.paused || !node.running {
            return;
        }
        while let Some((from, message)) = node.inbox.pop_front() {
            node.membership.on_message(from, message);
        }
        self.collect(index);
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        if self.broken.contains(&(from.min(to), from.max(to))) {
            return false;
        }
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let cut = from.place != to.place
            && (self.cut_places.contains(&from.place) || self.cut_places.contains(&to.place));
        let split = from.place == to.place
            && from.half != to.half
            && self.split_places.contains(&from.place);
        !cut && !split
    }

    /// Checks that the rank of a member never decreases in the view of a process.
    fn check_ranks(&mut self) {
        for node in &mut self.nodes {
            for member in node.membership.view().members() {
                let rank = member.rank();
                let known = node.ranks.entry(member.incarnation()).or_insert(rank);
                assert!(rank >= *known, "{rank:?} after {known:?} of {}", member.incarnation());
                *known = rank;
            }
        }
    }
}

/// Returns the report of a simulated process on itself.
pub fn fact(peer: Peer, place: usize, generation: u64) -> InstanceFact {
    let endpoint = |number: u32| EndpointFact {
        id: format!("lexis-{}-{number}", peer.addr.ip()),
        role: Role::Engine { model: "lexis".into(), layers: LayerRange::new(0, 12) },
        load: 0,
        slots: 64,
        engine: None,
    };
    InstanceFact {
        peer,
        place: format!("place-{place}"),
        role: DaemonRole::Beside,
        generation,
        counter: 1,
        profile: 1,
        liveness: Liveness::Live,
        applied: 0,
        endpoints: (0..2).map(endpoint).collect(),
        degraded: Vec::new(),
    }
}
