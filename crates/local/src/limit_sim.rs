//! Entries that share a limit, in simulated time: messages are late, lost and repeated, and
//! processes die, sleep and wake, as a test or a measurement says.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::grants::{
    Grant, GrantAsk, Keeper, KeeperView, LimitKey, LimitTable, Limits, Spend, StartLevel,
};
use sorrellock_core::process::membership::rendezvous;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// How often an entry looks after its shares.
const TICK: Duration = Duration::from_millis(20);
/// The most requests that wait for one answer.
const MOST_PARKED: usize = 256;

/// A small generator of numbers that are the same for the same seed.
#[derive(Clone, Copy, Debug)]
pub struct Dice(u64);

impl Dice {
    /// The generator of a seed.
    pub fn new(seed: u64) -> Dice {
        Dice(seed)
    }

    /// The next number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    /// Whether something of this chance in a thousand happens.
    pub fn happens(&mut self, per_mille: u64) -> bool {
        self.below(1000) < per_mille
    }
}

/// What goes wrong with messages.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    /// The least and the most time of a message.
    pub delay: (Duration, Duration),
    /// Messages lost, in a thousand.
    pub lost: u64,
    /// Messages repeated, in a thousand.
    pub repeated: u64,
}

impl Network {
    /// Half a millisecond to two, nothing lost.
    pub fn good() -> Network {
        let delay = (Duration::from_micros(500), Duration::from_millis(2));
        Network { delay, lost: 0, repeated: 0 }
    }
}

#[derive(Clone, Debug)]
enum Letter {
    Ask(GrantAsk),
    Grant(Grant),
}

struct InTransit {
    due: Instant,
    from: usize,
    to: usize,
    letter: Letter,
}

struct Parked {
    tokens: f64,
}

struct Node {
    incarnation: Incarnation,
    alive: bool,
    sleeps_until: Instant,
    table: LimitTable<ManualClock>,
    keeper: Keeper<ManualClock>,
    /// Indices of the entries that it takes for live.
    view: Vec<usize>,
    parked: VecDeque<Parked>,
    inbox: VecDeque<(usize, Letter)>,
}

/// What came of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that came.
    pub arrived: u64,
    /// Requests that were allowed.
    pub allowed: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Messages sent.
    pub messages: u64,
}

/// Entries that share one limit.
pub struct LimitSim {
    /// The time of all.
    pub clock: ManualClock,
    /// What came of the requests.
    pub tally: Tally,
    /// Requests allowed, by entry.
    pub allowed_at: Vec<u64>,
    /// The most requests in flight at a time.
    pub most_in_flight: u32,
    limits: Limits,
    key: LimitKey,
    nodes: Vec<Node>,
    network: Network,
    letters: Vec<InTransit>,
    running: BinaryHeap<Reverse<(Instant, usize, u64, u64)>>,
    dice: Dice,
    ticked: Instant,
    /// How long a request runs.
    pub run_time: Duration,
}

impl LimitSim {
    /// `entries` entries that all know each other.
    pub fn new(entries: usize, limits: Limits, start: StartLevel, seed: u64) -> LimitSim {
        let clock = ManualClock::new();
        let now = clock.now();
        let node = |index: usize| Node {
            incarnation: 1 + index as u64 + (seed << 8),
            alive: true,
            sleeps_until: now,
            table: LimitTable::new(clock.clone()),
            keeper: Keeper::new(clock.clone(), start),
            view: (0..entries).collect(),
            parked: VecDeque::new(),
            inbox: VecDeque::new(),
        };
        LimitSim {
            tally: Tally::default(),
            allowed_at: vec![0; entries],
            most_in_flight: 0,
            limits,
            key: LimitKey { workspace: "treasury".into(), kind: "default".into() },
            nodes: (0..entries).map(node).collect(),
            network: Network::good(),
            letters: Vec::new(),
            running: BinaryHeap::new(),
            dice: Dice::new(seed),
            ticked: now,
            run_time: Duration::from_millis(50),
            clock,
        }
    }

    /// Messages fare like this.
    pub fn with_network(mut self, network: Network) -> LimitSim {
        self.network = network;
        self
    }

    /// The entry that the first live one takes for the keeper.
    pub fn keeper(&self) -> usize {
        let first = self.nodes.iter().position(|node| node.alive).unwrap_or_default();
        self.keeper_for(first).unwrap_or(first)
    }

    /// Ends an entry; the others learn of it through [`LimitSim::forget`].
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    /// Lets an entry sleep.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].sleeps_until = self.clock.now() + time;
    }

    /// All others take an entry for gone.
    pub fn forget(&mut self, index: usize) {
        for (at, node) in self.nodes.iter_mut().enumerate() {
            if at != index {
                node.view.retain(|other| *other != index);
                node.keeper.members_changed();
            }
        }
    }

    /// All others take an entry for live again.
    pub fn remember(&mut self, index: usize) {
        for (at, node) in self.nodes.iter_mut().enumerate() {
            if at != index && !node.view.contains(&index) {
                node.view.push(index);
                node.keeper.members_changed();
            }
        }
    }

    /// Whether an entry is awake.
    pub fn is_awake(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.alive && node.sleeps_until <= self.clock.now()
    }

    /// A request that takes `tokens` arrives at an entry; one that sleeps gets none.
    pub fn arrive(&mut self, index: usize, tokens: f64) {
        if !self.is_awake(index) {
            return;
        }
        self.tally.arrived += 1;
        let by = self.keeping(index);
        let (key, limits) = (self.key.clone(), self.limits);
        match self.nodes[index].table.arrive(&key, limits, tokens, by) {
            Spend::Asked if self.nodes[index].parked.len() < MOST_PARKED => {
                self.nodes[index].parked.push_back(Parked { tokens });
            }
            Spend::Asked | Spend::Refused(_) => self.tally.refused += 1,
            Spend::Allowed => self.start(index, tokens),
        }
        self.ask(index);
    }

    /// Time passes.
    pub fn advance(&mut self, by: Duration) {
        self.clock.advance(by);
        let now = self.clock.now();
        self.end_due(now);
        self.deliver_due(now);
        if now >= self.ticked + TICK {
            self.ticked = now;
            (0..self.nodes.len()).for_each(|index| self.tick(index));
        }
    }

    fn tick(&mut self, index: usize) {
        if !self.is_awake(index) {
            return;
        }
        while let Some((from, letter)) = self.nodes[index].inbox.pop_front() {
            self.handle(from, index, letter);
        }
        self.resolve(index);
        self.ask(index);
    }

    fn end_due(&mut self, now: Instant) {
        while let Some(Reverse((due, index, tokens, actual))) = self.running.peek().copied() {
            if due > now {
                return;
            }
            self.running.pop();
            let key = self.key.clone();
            self.nodes[index].table.end(&key, tokens as f64, actual as f64);
        }
    }

    fn deliver_due(&mut self, now: Instant) {
        let (due, later) = self.letters.drain(..).partition(|letter| letter.due <= now);
        self.letters = later;
        let due: Vec<InTransit> = due;
        for InTransit { from, to, letter, .. } in due {
            match self.is_awake(to) {
                true => self.handle(from, to, letter),
                false if self.nodes[to].alive => self.nodes[to].inbox.push_back((from, letter)),
                false => {}
            }
        }
    }

    fn handle(&mut self, from: usize, to: usize, letter: Letter) {
        let sender = self.nodes[from].incarnation;
        match letter {
            Letter::Ask(ask) => {
                let grant = self.nodes[to].keeper.answer(sender, &ask, self.limits);
                if let Some(grant) = grant {
                    self.send(to, from, Letter::Grant(grant));
                }
            }
            Letter::Grant(grant) => {
                if self.nodes[to].table.take(sender, &grant) {
                    self.resolve(to);
                    self.ask(to);
                }
            }
        }
    }

    /// Requests that wait for an answer ask again, in order.
    fn resolve(&mut self, index: usize) {
        let by = self.keeping(index);
        let key = self.key.clone();
        while let Some(parked) = self.nodes[index].parked.pop_front() {
            match self.nodes[index].table.spend(&key, parked.tokens, by) {
                Spend::Allowed => self.start(index, parked.tokens),
                Spend::Refused(_) => self.tally.refused += 1,
                Spend::Asked => {
                    self.nodes[index].parked.push_front(parked);
                    return;
                }
            }
        }
    }

    fn ask(&mut self, index: usize) {
        let by = self.keeping(index);
        let (key, waiting) = (self.key.clone(), self.nodes[index].parked.len());
        let ask = self.nodes[index].table.ask(&key, waiting, by);
        let (Some(ask), Some(keeper)) = (ask, self.keeper_for(index)) else { return };
        if keeper != index {
            return self.send(index, keeper, Letter::Ask(ask));
        }
        let node = &mut self.nodes[index];
        if let Some(grant) = node.keeper.answer(node.incarnation, &ask, self.limits) {
            node.table.take(node.incarnation, &grant);
            self.resolve(index);
        }
    }

    fn start(&mut self, index: usize, tokens: f64) {
        self.tally.allowed += 1;
        self.allowed_at[index] += 1;
        let due = self.clock.now() + self.run_time;
        self.running.push(Reverse((due, index, tokens as u64, tokens as u64)));
        let in_flight: u32 = self.nodes.iter().map(|node| node.table.in_use(&self.key)).sum();
        self.most_in_flight = self.most_in_flight.max(in_flight);
    }

    fn send(&mut self, from: usize, to: usize, letter: Letter) {
        self.tally.messages += 1;
        let copies = if self.dice.happens(self.network.lost) { 0 } else { 1 };
        let copies = copies + u64::from(self.dice.happens(self.network.repeated));
        for _ in 0..copies {
            let (least, most) = self.network.delay;
            let spread = self.dice.below((most - least).as_micros() as u64 + 1);
            let due = self.clock.now() + least + Duration::from_micros(spread);
            self.letters.push(InTransit { due, from, to, letter: letter.clone() });
        }
    }

    fn keeper_for(&self, index: usize) -> Option<usize> {
        let view = &self.nodes[index].view;
        let known = view.iter().map(|other| self.nodes[*other].incarnation);
        let named = rendezvous(self.key.to_string().as_bytes(), known)?;
        self.nodes.iter().position(|node| node.incarnation == named)
    }

    fn keeping(&self, index: usize) -> KeeperView {
        let keeper = self.keeper_for(index).map(|keeper| self.nodes[keeper].incarnation);
        KeeperView { keeper, entries: self.nodes[index].view.len().max(1) }
    }
}
