//! A gateway of the fleet: what it knows of the others, and the queue if it gives out the capacity.

use super::engines::ENGINES;
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{CapacityQueue, QueueBounds};
use sorrellock_routing::process::capacity::{
    AlonePart, CapacityTerm, PendingGrants, UnseenTakes, capacity_keeper, usable_share,
};
use sorrellock_routing::process::retries::Sharers;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time without a message after which a gateway counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after its start until a gateway knows the loads of the others.
pub const LOADS_KNOWN_AFTER: Duration = Duration::from_millis(600);

/// Tokens and streams of one gateway at each engine.
pub type Loads = Rc<Vec<(f64, u32)>>;

/// The latest message of another gateway.
pub struct Heard {
    pub incarnation: u64,
    pub at: Instant,
    pub loads: Loads,
    /// Number of the last grant that they include, by the gateway that granted it.
    pub taken: HashMap<u64, u64>,
}

pub struct Gateway {
    pub incarnation: u64,
    pub began: Instant,
    pub is_alive: bool,
    pub frozen_until: Option<Instant>,
    /// In order, so that a seed always gives the same course.
    pub heard: BTreeMap<usize, Heard>,
    pub queue: CapacityQueue<ManualClock>,
    pub grants: PendingGrants,
    /// What it takes of each engine while nobody gives it out, and while there is plenty.
    pub alone: Vec<AlonePart>,
    pub plenty: Vec<AlonePart>,
    /// What others may have taken of each engine without asking.
    pub unseen: Vec<UnseenTakes>,
    pub term: CapacityTerm,
    pub sharers: Sharers,
    /// When a stream of its ended that the keeper wasn't told of.
    pub freed_at: Option<Instant>,
    /// Number of the last grant that it took, by the gateway that granted it.
    pub taken: HashMap<u64, u64>,
}

impl Gateway {
    /// A process of a fleet of `gateways`, as the store lists them.
    pub fn new(incarnation: u64, clock: &ManualClock, gateways: usize) -> Gateway {
        let now = clock.now();
        fn parts<T: Default>() -> Vec<T> {
            (0..ENGINES).map(|_| T::default()).collect()
        }
        let mut sharers = Sharers::new(&incarnation.to_string(), now);
        sharers.on_list(gateways, now);
        Gateway {
            incarnation,
            began: now,
            is_alive: true,
            frozen_until: None,
            heard: BTreeMap::new(),
            queue: CapacityQueue::new(clock.clone(), QueueBounds::new()),
            grants: PendingGrants::default(),
            alone: parts(),
            plenty: parts(),
            unseen: parts(),
            term: CapacityTerm::default(),
            sharers,
            freed_at: None,
            taken: HashMap::new(),
        }
    }

    pub fn runs(&self, now: Instant) -> bool {
        self.is_alive && self.frozen_until.is_none_or(|until| until <= now)
    }

    pub fn check_term(&mut self, now: Instant) {
        let is_keeper = self.keeper(now) == self.incarnation;
        self.term.check(is_keeper, now);
    }

    pub fn knows_loads(&self, now: Instant) -> bool {
        self.term.is_settled(now) && now - self.began >= LOADS_KNOWN_AFTER
    }

    /// Share of the capacity that the gateways in reach may use, and the number of gateways.
    pub fn reach(&self, now: Instant) -> (f64, usize) {
        let count = self.sharers.count(now);
        let live = self.live(now).count() + 1;
        (usable_share(live, count), live)
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = &Heard> {
        self.heard.values().filter(move |heard| now - heard.at < PEER_TIMEOUT)
    }

    /// The gateway that it takes for the one that gives out the capacity.
    pub fn keeper(&self, now: Instant) -> u64 {
        let others = self.live(now).map(|heard| heard.incarnation);
        capacity_keeper("service", others.chain([self.incarnation])).expect("itself at least")
    }

    /// Load of all others at each engine, with what was granted to them since.
    pub fn other_loads(&mut self, engines: usize, now: Instant) -> Vec<(f64, u32)> {
        let own = self.incarnation;
        let taken = |heard: &Heard| (heard.incarnation, heard.taken.get(&own).copied());
        let taken: HashMap<u64, Option<u64>> = self.live(now).map(taken).collect();
        self.grants.drop_reported(|gateway| taken.get(&gateway).copied().flatten(), now);
        let mut all = vec![(0.0, 0); engines];
        for heard in self.live(now) {
            for (sum, load) in all.iter_mut().zip(heard.loads.iter()) {
                *sum = (sum.0 + load.0, sum.1 + load.1);
            }
        }
        for (head, tokens) in self.grants.iter() {
            let index: usize = head.id.parse().expect("an index");
            all[index] = (all[index].0 + tokens, all[index].1 + 1);
        }
        all
    }
}
