//! Stateful fuzzing of lead elections with a store that loses answers and daemons that pause and restart.
//! No engine may take an order with a lower fencing number than one that it took before.

use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::{Fence, Revision};
use sorrellock_core::process::orders::{
    FIRST_ORDER_DELAY, FenceGuard, LEAD_LEASE, LeadAction, LeadElection, LeadRecord, PutResult,
    READ_INTERVAL,
};
use std::collections::VecDeque;
use std::time::Duration;

const DAEMONS: usize = 4;
const GUARDS: usize = 3;
const STEPS: usize = 400;
const SCHEDULES: u64 = 300;
const LONG_SCHEDULES: u64 = 50_000;

/// A store with one object.
#[derive(Default)]
struct Store {
    revision: Revision,
    object: Option<(LeadRecord, Revision)>,
    /// Earlier states of the object, for reads from a stale copy.
    history: Vec<Option<(LeadRecord, Revision)>>,
}

impl Store {
    fn version(&self) -> Revision {
        self.object.map_or(0, |(_, version)| version)
    }

    fn put(&mut self, record: LeadRecord, version: Revision) -> PutResult {
        if self.version() != version {
            return PutResult::Conflict(self.version());
        }
        self.revision += 1;
        self.history.push(self.object);
        self.object = Some((record, self.revision));
        PutResult::Written(self.revision)
    }
}

/// State of a daemon's store call.
enum StoreCall {
    Idle,
    ReadSent,
    ReadDone(Option<LeadRecord>, Revision),
    PutSent(Revision),
    PutDone(PutResult),
}

struct Daemon {
    election: LeadElection<ManualClock>,
    call: StoreCall,
}

/// An engine that checks nothing itself, with its guard and the orders that it took.
struct GuardedEngine {
    guard: FenceGuard,
    /// The version that the read in progress will return, if there is one.
    reading: Option<Revision>,
    taken: Vec<Fence>,
}

struct World {
    clock: ManualClock,
    random: Random,
    store: Store,
    daemons: Vec<Daemon>,
    guards: Vec<GuardedEngine>,
    orders: VecDeque<(usize, Fence)>,
    /// Whether store calls get lost and reads come from stale copies.
    is_lossy: bool,
}

impl World {
    fn new(seed: u64) -> World {
        let clock = ManualClock::new();
        let daemon = |number: usize| Daemon {
            election: LeadElection::new(clock.clone(), number as u64 + 1),
            call: StoreCall::Idle,
        };
        let guarded =
            |_| GuardedEngine { guard: FenceGuard::new(), reading: None, taken: Vec::new() };
        World {
            random: Random(seed),
            store: Store::default(),
            daemons: (0..DAEMONS).map(daemon).collect(),
            guards: (0..GUARDS).map(guarded).collect(),
            orders: VecDeque::new(),
            is_lossy: true,
            clock,
        }
    }

    fn step(&mut self) {
        let daemon = self.random.below(DAEMONS);
        let guard = self.random.below(GUARDS);
        match self.random.below(12) {
            0 => self.clock.advance(Duration::from_millis(700)),
            1 => {
                let is_candidate = self.random.below(2) == 0;
                self.daemons[daemon].election.set_candidate(is_candidate);
            }
            2 if self.random.below(4) == 0 => {
                self.guards[guard].guard = FenceGuard::new();
                self.guards[guard].reading = None;
            }
            2 | 3 => self.read_at(guard),
            4 | 5 => self.order(daemon, guard),
            6 | 7 => self.deliver(),
            _ => self.advance_daemon(daemon),
        }
    }

    /// Starts a guard's read, or completes the one in progress. Guards read the version from the conflict
    /// of a put, so never from a stale copy.
    fn read_at(&mut self, guard: usize) {
        let guarded = &mut self.guards[guard];
        match guarded.reading.take() {
            Some(version) => guarded.guard.on_read(version),
            None => guarded.reading = Some(self.store.version()),
        }
    }

    /// Returns what a read finds: the object, or an earlier state of it.
    fn read(&mut self) -> (Option<LeadRecord>, Revision) {
        let found = match self.random.below(6) {
            0 if self.is_lossy && !self.store.history.is_empty() => {
                self.store.history[self.random.below(self.store.history.len())]
            }
            _ => self.store.object,
        };
        (found.map(|(record, _)| record), found.map_or(0, |(_, version)| version))
    }

    /// Advances a daemon's store call or election by one step. Daemons that aren't chosen act as paused.
    fn advance_daemon(&mut self, index: usize) {
        let lost = self.random.below(5) == 0 && self.is_lossy;
        let (found, version) = self.read();
        let daemon = &mut self.daemons[index];
        let record = LeadRecord { lead: index as u64 + 1 };
        daemon.call = match std::mem::replace(&mut daemon.call, StoreCall::Idle) {
            StoreCall::Idle => match daemon.election.next() {
                LeadAction::Wait(_) => StoreCall::Idle,
                LeadAction::Read => StoreCall::ReadSent,
                LeadAction::Put { version } => StoreCall::PutSent(version),
            },
            StoreCall::ReadSent if lost => {
                daemon.election.on_read_failed();
                StoreCall::Idle
            }
            StoreCall::ReadSent => StoreCall::ReadDone(found, version),
            StoreCall::ReadDone(record, version) => {
                daemon.election.on_read(record, version);
                StoreCall::Idle
            }
            StoreCall::PutSent(version) => {
                let result = self.store.put(record, version);
                StoreCall::PutDone(if lost { PutResult::Unclear } else { result })
            }
            StoreCall::PutDone(result) => {
                daemon.election.on_put(result);
                StoreCall::Idle
            }
        };
    }

    fn order(&mut self, daemon: usize, guard: usize) {
        if let Some(fence) = self.daemons[daemon].election.fence() {
            self.orders.push_back((guard, fence));
        }
    }

    /// Delivers a random pending order, and may keep it for another delivery.
    fn deliver(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let index = self.random.below(self.orders.len());
        let (guard, fence) = self.orders[index];
        if self.random.below(4) > 0 {
            self.orders.remove(index);
        }
        let guarded = &mut self.guards[guard];
        if guarded.guard.admit(fence).is_ok() {
            guarded.taken.push(fence);
        }
    }

    fn check(&self) {
        for guarded in &self.guards {
            assert!(
                guarded.taken.is_sorted(),
                "an old lead's order was taken: {:?}",
                guarded.taken
            );
        }
        let mut fences: Vec<_> =
            self.daemons.iter().filter_map(|daemon| daemon.election.fence()).collect();
        fences.sort_unstable();
        let leads = fences.len();
        fences.dedup();
        assert_eq!(fences.len(), leads, "two leads under one fencing number");
    }

    /// Ends all faults: one daemon is the candidate, and no calls are lost. Then runs until an election is over.
    fn end_faults(&mut self) {
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            daemon.election.set_candidate(index == 0);
        }
        self.random = Random(u64::MAX / 3);
        self.is_lossy = false;
        for _ in 0..40 {
            self.clock.advance(READ_INTERVAL / 4);
            (0..DAEMONS).for_each(|daemon| self.advance_daemon(daemon));
        }
    }
}

#[test]
fn no_engine_takes_an_order_of_a_superseded_lead() {
    let schedules = match std::env::var_os("SORRELLOCK_FUZZ_LONG") {
        Some(_) => LONG_SCHEDULES,
        None => SCHEDULES,
    };
    println!("seeds 1..={schedules}");
    let mut taken = 0;
    for seed in 1..=schedules {
        let mut world = World::new(seed);

        for _ in 0..STEPS {
            world.step();
            world.check();
        }
        world.end_faults();

        let leads = world.daemons.iter().filter(|daemon| daemon.election.fence().is_some()).count();
        assert_eq!(leads, 1, "seed {seed}: one lead once all is well");
        taken += world.guards.iter().map(|guarded| guarded.taken.len()).sum::<usize>();
    }
    assert!(taken as u64 > schedules, "the schedules gave too few orders: {taken}");
}

#[test]
fn a_guard_refuses_all_orders_before_its_first_read() {
    let mut guard = FenceGuard::new();

    let before = guard.admit(7);
    guard.on_read(7);
    let after = guard.admit(7);

    assert!(before.is_err());
    assert_eq!(after, Ok(()));
}

#[test]
fn a_stale_read_does_not_restore_a_lost_lead() {
    let mut election = LeadElection::new(ManualClock::new(), 1);
    election.set_candidate(true);
    election.on_read(Some(LeadRecord { lead: 2 }), 9);

    election.on_read(Some(LeadRecord { lead: 1 }), 5);

    assert_eq!(election.fence(), None);
}

fn candidate(version: Revision) -> LeadElection<ManualClock> {
    let mut election = LeadElection::new(ManualClock::new(), 1);
    election.set_candidate(true);
    election.on_read(Some(LeadRecord { lead: 2 }), version);
    election
}

#[test]
fn a_conflict_causes_an_immediate_read_that_ignores_stale_copies() {
    let mut election = candidate(4);

    let put = election.next();
    election.on_put(PutResult::Conflict(9));
    let after = election.next();
    election.on_read(Some(LeadRecord { lead: 1 }), 5);

    assert_eq!(put, LeadAction::Put { version: 4 });
    assert_eq!(after, LeadAction::Read);
    assert_eq!(election.fence(), None);
}

#[test]
fn an_unclear_put_causes_an_immediate_read() {
    let mut election = candidate(4);

    election.on_put(PutResult::Unclear);
    let after = election.next();
    election.on_read(Some(LeadRecord { lead: 1 }), 6);

    assert_eq!(after, LeadAction::Read);
    assert_eq!(election.fence(), Some(6));
}

#[test]
fn a_deleted_object_is_created_again() {
    let mut election = candidate(4);

    election.on_put(PutResult::Conflict(0));
    election.on_read(None, 0);

    assert_eq!(election.next(), LeadAction::Put { version: 0 });
}

#[test]
fn a_late_read_does_not_lower_the_fencing_number() {
    let mut guard = FenceGuard::new();
    guard.on_read(5);
    guard.admit(8).unwrap();

    guard.on_read(5);

    assert!(guard.admit(7).is_err());
}

#[test]
fn a_daemon_that_is_no_candidate_gives_no_orders() {
    let mut election = candidate(4);
    election.on_put(PutResult::Written(5));

    let before = election.fence();
    election.set_candidate(false);

    assert_eq!((before, election.fence()), (Some(5), None));
}

#[test]
fn a_lead_gives_orders_after_the_first_order_delay_and_while_its_lease_lasts() {
    let clock = ManualClock::new();
    let mut election = LeadElection::new(clock.clone(), 1);
    election.set_candidate(true);
    election.on_read(None, 0);
    election.on_put(PutResult::Written(3));

    let at_once = election.order_fence();
    clock.advance(FIRST_ORDER_DELAY);
    let after_delay = election.order_fence();
    clock.advance(READ_INTERVAL);
    election.on_read(Some(LeadRecord { lead: 1 }), 3);
    let confirmed = election.order_fence();
    clock.advance(LEAD_LEASE + Duration::from_millis(1));
    let expired = election.order_fence();

    assert_eq!((at_once, after_delay, confirmed, expired), (None, Some(3), Some(3), None));
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) as usize % bound
    }
}
