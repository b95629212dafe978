//! Fuzz test of the admission queue: checks its invariants at each step of a random flood.

use quickcheck::{Arbitrary, Gen};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{AdmissionQueue, Demand, Ended, QueueBounds, Verdict};
use sorrellock_core::request::Refusal;
use sorrellock_core::version::Class;
use std::collections::HashMap;
use std::time::Duration;

const SEED: u64 = 0x5eed_0002;
const SLOTS: usize = 16;
/// Waiting requests allowed per workspace and in total.
const BOUNDS: (u64, u64) = (20, 50);
/// Most waiting requests of the modest workspace, which must never be refused.
const MODEST: u64 = 3;

fn rounds() -> u64 {
    if std::env::var_os("SORRELLOCK_FUZZ_LONG").is_some() { 5_000 } else { 60 }
}

struct Fuzz {
    clock: ManualClock,
    queue: AdmissionQueue<ManualClock>,
    /// Class and workspace of each running request.
    running: HashMap<u64, (Class, usize)>,
    /// Class and workspace of each waiting request.
    waiting: HashMap<u64, (Class, usize)>,
    tickets: u64,
    refused_modest: u64,
    urgent_waits_with_capacity: u64,
}

impl Fuzz {
    fn new() -> Fuzz {
        let clock = ManualClock::new();
        let bounds = QueueBounds::new().with_requests(BOUNDS.0, BOUNDS.1);
        let queue = AdmissionQueue::new(clock.clone(), SLOTS, bounds);
        let (running, waiting) = Default::default();
        Fuzz {
            clock,
            queue,
            running,
            waiting,
            tickets: 0,
            refused_modest: 0,
            urgent_waits_with_capacity: 0,
        }
    }

    fn offer(&mut self, workspace: usize, class: Class) {
        self.tickets += 1;
        let demand = Demand {
            ticket: self.tickets,
            workspace: format!("w{workspace}"),
            class,
            weight: 1.0,
            known_work: 10.0,
            max_extra_work: 0.0,
            bytes: 0,
            deadline: self.clock.now() + Duration::from_secs(100_000),
        };
        let urgent_runs = self.count_running(Class::Urgent);
        match self.queue.offer(demand) {
            Verdict::Start => drop(self.running.insert(self.tickets, (class, workspace))),
            Verdict::Wait => {
                let reserve = self.queue.window().reserve();
                let has_reserve = class == Class::Urgent && urgent_runs < reserve;
                self.urgent_waits_with_capacity += u64::from(has_reserve);
                self.waiting.insert(self.tickets, (class, workspace));
            }
            Verdict::Refuse(refused) => {
                assert_ne!(refused.refusal, Refusal::Deadline);
                self.refused_modest += u64::from(workspace == 0);
            }
        }
        self.collect();
    }

    fn end(&mut self, pick: usize) {
        let mut tickets: Vec<u64> = self.running.keys().copied().collect();
        tickets.sort_unstable();
        let Some(ticket) = tickets.get(pick % tickets.len().max(1)) else { return };
        self.running.remove(ticket);
        assert!(self.queue.finish(*ticket, Ended::Ran { work: 10.0 }));
        while let Some(started) = self.queue.start_next() {
            let of = self.waiting.remove(&started).expect("it waited");
            assert!(self.running.insert(started, of).is_none(), "started twice");
        }
        self.collect();
    }

    fn cancel(&mut self, pick: usize) {
        let ticket = pick as u64 % self.tickets.max(1) + 1;
        assert_eq!(self.queue.cancel(ticket), self.waiting.remove(&ticket).is_some());
    }

    fn collect(&mut self) {
        for dropped in self.queue.take_dropped() {
            let (_, workspace) = self.waiting.remove(&dropped.ticket).expect("it waited");
            self.refused_modest += u64::from(workspace == 0);
        }
    }

    fn count_running(&self, class: Class) -> usize {
        self.running.values().filter(|(of, _)| *of == class).count()
    }

    fn waits_of(&self, workspace: usize) -> u64 {
        self.waiting.values().filter(|(_, of)| *of == workspace).count() as u64
    }

    fn check(&self) {
        assert!(self.running.len() <= SLOTS, "{} run", self.running.len());
        assert_eq!(self.queue.running(), self.running.len());
        let reserve = self.queue.window().reserve();
        assert!(self.count_running(Class::Routine) + reserve <= SLOTS, "the reserve was taken");
        for class in [Class::Urgent, Class::Routine] {
            let waiting = self.waiting.values().filter(|(of, _)| *of == class).count();
            assert_eq!(self.queue.waiting(class), waiting);
            assert!(waiting as u64 <= BOUNDS.1, "{waiting} wait");
        }
    }
}

#[test]
fn floods_hurt_only_their_own_workspaces() {
    println!("seed {SEED:#x}");
    for round in 0..rounds() {
        let mut g = Gen::from_size_and_seed(100, SEED + round);
        let mut fuzz = Fuzz::new();

        for _ in 0..600 {
            let pick = usize::arbitrary(&mut g);
            fuzz.clock.advance(Duration::from_millis(pick as u64 % 5));
            match u8::arbitrary(&mut g) % 10 {
                0..=4 => fuzz.offer(1 + pick % 5, Class::Routine),
                5 if fuzz.waits_of(0) < MODEST => fuzz.offer(0, Class::Routine),
                6 => fuzz.offer(6 + pick % 2, Class::Urgent),
                7 => fuzz.cancel(pick),
                _ => fuzz.end(pick),
            }
            fuzz.check();
        }

        assert_eq!(fuzz.refused_modest, 0, "round {round}: a modest workspace was refused");
        assert_eq!(fuzz.urgent_waits_with_capacity, 0, "round {round}: urgent work waited");
    }
}
