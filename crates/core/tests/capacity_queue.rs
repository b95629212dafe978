//! Scarce capacity under load: who starts, who is refused, and who finds capacity on return.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{
    CapacityDecision, CapacityDemand, CapacityQueue, Placement, Promises, QueueBounds, Rank,
    Recovery,
};
use sorrellock_core::request::Refusal;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Tokens of a request.
const TOKENS: f64 = 100.0;
/// Mean duration of a request.
const LASTS: Duration = Duration::from_millis(1_000);
/// Requests that run at a time.
const SLOTS: usize = 50;
const STEP: Duration = Duration::from_millis(5);
/// Longest wait: a quarter of a target of 500 ms.
const MAX_WAIT: Duration = Duration::from_millis(125);

/// Callers of one workspace that send at a steady rate.
#[derive(Clone, Copy)]
struct Callers {
    workspace: &'static str,
    rank: Rank,
    per_second: f64,
    /// How often each tries again after a refusal.
    returns: u32,
}

fn callers(workspace: &'static str, rank: Rank, per_second: f64) -> Callers {
    Callers { workspace, rank, per_second, returns: 0 }
}

/// A request that was sent.
#[derive(Clone, Copy)]
struct Sent {
    callers: usize,
    request: u64,
    attempt: u32,
    at: Instant,
}

/// What the callers of a workspace got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u32,
    started: u32,
    refused_again: u32,
    returned: u32,
    longest_refused: Duration,
    longest_return: Duration,
}

struct World {
    rng: StdRng,
    clock: ManualClock,
    queue: CapacityQueue<ManualClock>,
    running: Vec<Instant>,
    slots: usize,
    waiting: HashMap<u64, Sent>,
    returning: Vec<(Instant, Sent)>,
    tickets: u64,
    outcomes: BTreeMap<&'static str, Outcome>,
    busy: f64,
    steps: f64,
}

impl World {
    fn new() -> World {
        let clock = ManualClock::new();
        let mut queue = CapacityQueue::new(clock.clone(), QueueBounds::new());
        queue.set_expected_rate(TOKENS * SLOTS as f64 / LASTS.as_secs_f64());
        World {
            rng: StdRng::seed_from_u64(1),
            clock,
            queue,
            running: Vec::new(),
            slots: SLOTS,
            waiting: HashMap::new(),
            returning: Vec::new(),
            tickets: 0,
            outcomes: BTreeMap::new(),
            busy: 0.0,
            steps: 0.0,
        }
    }

    /// Lets callers send for a time.
    fn run(&mut self, all: &[Callers], lasts: Duration) {
        let steps = (lasts.as_secs_f64() / STEP.as_secs_f64()) as u32;
        let mut due = vec![0.0; all.len()];
        for _ in 0..steps {
            self.clock.advance(STEP);
            let now = self.clock.now();
            self.running.retain(|ends| *ends > now);
            for (index, one) in all.iter().enumerate() {
                due[index] += one.per_second * STEP.as_secs_f64();
                while due[index] >= 1.0 {
                    due[index] -= 1.0;
                    self.outcomes.entry(one.workspace).or_default().sent += 1;
                    let sent = Sent { callers: index, request: self.tickets, attempt: 0, at: now };
                    self.send(all, sent);
                }
            }
            let back: Vec<Sent> =
                self.returning.iter().filter(|(at, _)| *at <= now).map(|(_, sent)| *sent).collect();
            self.returning.retain(|(at, _)| *at > now);
            for sent in back {
                self.outcomes.entry(all[sent.callers].workspace).or_default().returned += 1;
                self.send(all, Sent { attempt: sent.attempt + 1, at: now, ..sent });
            }
            self.dispatch(all);
            self.busy += self.running.len() as f64;
            self.steps += 1.0;
        }
    }

    fn send(&mut self, all: &[Callers], sent: Sent) {
        self.tickets += 1;
        let one = all[sent.callers];
        let demand = CapacityDemand {
            ticket: self.tickets,
            workspace: one.workspace.to_owned(),
            rank: one.rank,
            is_resumed: false,
            request: sent.request,
            tokens: TOKENS,
            bytes: 0,
            max_wait: MAX_WAIT,
        };
        self.waiting.insert(self.tickets, sent);
        self.queue.offer(&demand).expect("within the bounds");
    }

    fn dispatch(&mut self, all: &[Callers]) {
        let now = self.clock.now();
        let (running, rng, slots) = (&mut self.running, &mut self.rng, self.slots);
        let decisions = self.queue.dispatch(|_, reserve| {
            if running.len() as f64 + 1.0 + reserve / TOKENS > slots as f64 {
                return Placement::Full;
            }
            let lasts = LASTS.mul_f64(-rng.random_range(f64::MIN_POSITIVE..1.0).ln());
            running.push(now + lasts);
            Placement::Placed
        });
        for (ticket, decision) in decisions {
            let sent = self.waiting.remove(&ticket).expect("it waits");
            let one = all[sent.callers];
            let outcome = self.outcomes.entry(one.workspace).or_default();
            match decision {
                CapacityDecision::Start => outcome.started += 1,
                CapacityDecision::Refuse(refusal) => {
                    outcome.refused_again += u32::from(sent.attempt > 0);
                    outcome.longest_return = outcome.longest_return.max(refusal.retry_after);
                    outcome.longest_refused = outcome.longest_refused.max(now - sent.at);
                    if sent.attempt < one.returns {
                        self.returning.push((now + refusal.retry_after, sent));
                    }
                }
            }
        }
    }

    /// Share of the requests of a workspace that started.
    fn served(&self, workspace: &str) -> f64 {
        let outcome = self.outcomes[workspace];
        f64::from(outcome.started) / f64::from(outcome.sent)
    }

    /// Share of the capacity that was used.
    fn used(&self) -> f64 {
        self.busy / self.steps / self.slots as f64
    }
}

/// Requests per second that the capacity serves.
fn capacity() -> f64 {
    SLOTS as f64 / LASTS.as_secs_f64()
}

#[test]
fn capacity_is_used_while_requests_wait_at_1_3_and_2_times_the_load() {
    for factor in [1.3, 2.0] {
        let mut world = World::new();
        let all = [callers("a", 1, capacity() * factor)];

        world.run(&all, Duration::from_secs(3));
        (world.busy, world.steps) = (0.0, 0.0);
        world.run(&all, Duration::from_secs(10));

        assert!(world.used() >= 0.9, "{factor}: {}", world.used());
        let longest = world.outcomes["a"].longest_refused;
        assert!(longest <= MAX_WAIT + STEP, "{factor}: refused after {longest:?}");
    }
}

#[test]
fn urgent_requests_that_fit_alone_are_served_whatever_else_is_offered() {
    let (mut alone, mut world) = (World::new(), World::new());
    let all = [callers("urgent", 0, capacity() * 0.6), callers("flood", 1, capacity() * 3.0)];

    // The flood comes first, and has filled the capacity.
    world.run(&all[1..], Duration::from_secs(3));
    for (world, all) in [(&mut alone, &all[..1]), (&mut world, &all[..])] {
        world.run(all, Duration::from_secs(3));
        world.outcomes.clear();
        world.run(all, Duration::from_secs(15));
    }

    let (urgent, wanted) = (world.served("urgent"), alone.served("urgent"));
    assert!(urgent >= wanted, "{urgent}, alone {wanted}");
    let all_served = (world.outcomes["urgent"].started + world.outcomes["flood"].started) as f64
        / (world.outcomes["urgent"].sent + world.outcomes["flood"].sent) as f64;
    assert!(world.served("flood") >= all_served / 4.0, "{}", world.served("flood"));
}

#[test]
fn a_flood_of_the_highest_rank_starves_no_other() {
    let mut world = World::new();
    let all = [callers("flood", 0, capacity() * 4.0), callers("later", 2, capacity() * 0.5)];

    world.run(&all, Duration::from_secs(15));

    let all_served = (world.outcomes["flood"].started + world.outcomes["later"].started) as f64
        / (world.outcomes["flood"].sent + world.outcomes["later"].sent) as f64;
    assert!(world.served("later") >= all_served / 4.0, "{} of {all_served}", world.served("later"));
}

#[test]
fn a_workspace_with_ten_times_its_share_leaves_the_others_theirs() {
    let mut world = World::new();
    let share = capacity() / 4.0;
    let all = [
        callers("flood", 1, share * 10.0),
        callers("a", 1, share * 2.0),
        callers("b", 1, share * 2.0),
        callers("c", 1, share * 2.0),
    ];

    world.run(&all, Duration::from_secs(3));
    world.outcomes.clear();
    world.run(&all, Duration::from_secs(20));

    let per_workspace = share * 20.0;
    for one in &all {
        let started = f64::from(world.outcomes[one.workspace].started);
        let of_share = started / per_workspace;
        assert!((0.9..=1.1).contains(&of_share), "{}: {of_share} of its share", one.workspace);
    }
}

#[test]
fn refused_callers_that_return_as_told_find_capacity() {
    let mut world = World::new();
    let calm = [Callers { returns: 1, ..callers("a", 1, capacity() * 0.8) }];
    let burst = [Callers { returns: 1, ..callers("a", 1, capacity() * 1.7) }];

    world.run(&calm, Duration::from_secs(3));
    world.run(&burst, Duration::from_secs(3));
    world.run(&calm, Duration::from_secs(12));

    let Outcome { returned, refused_again, .. } = world.outcomes["a"];
    assert!(returned > 30, "{returned} returned");
    assert!(refused_again * 10 <= returned, "{refused_again} of {returned} refused again");
}

#[test]
fn callers_that_repeat_at_once_gain_nothing_over_those_that_wait() {
    let (mut promises, now) = (Promises::default(), Instant::now());
    promises.add(1, 0, TOKENS, Duration::from_secs(2), now);

    let early = promises.take(1, now + Duration::from_millis(500));
    let in_time = promises.take(1, now + Duration::from_secs(2));
    let again = promises.take(1, now + Duration::from_secs(2));

    assert!(!early, "it repeats at once");
    assert!(in_time && !again);
}

#[test]
fn what_waits_is_refused_with_a_time_to_return_while_nothing_is_free() {
    let mut world = World::new();
    let all = [Callers { returns: 1, ..callers("a", 1, capacity() * 0.8) }];
    world.run(&all, Duration::from_secs(3));

    world.slots = 0;
    world.run(&all, Duration::from_secs(4));
    world.slots = SLOTS;
    world.outcomes.clear();
    world.run(&all, Duration::from_secs(10));

    let Outcome { returned, refused_again, .. } = world.outcomes["a"];
    assert!(refused_again * 10 <= returned, "{refused_again} of {returned} refused again");
}

#[test]
fn a_caller_that_leaves_frees_its_place() {
    let mut world = World::new();
    world.slots = 0;
    let all = [callers("a", 1, 200.0)];
    world.run(&all, STEP * 3);
    let waiting: Vec<u64> = world.waiting.keys().copied().collect();

    let cancelled = waiting.iter().filter(|ticket| world.queue.cancel(**ticket)).count();

    assert_eq!(cancelled, waiting.len());
    assert!(world.queue.is_empty());
    assert_eq!(world.queue.next_expiry(), None);
}

#[test]
fn requests_that_wait_have_the_ranks_of_a_new_configuration() {
    let mut world = World::new();
    world.slots = 0;
    world.run(&[callers("a", 1, 50.0), callers("b", 2, 50.0)], STEP * 8);
    let workspaces: HashMap<u64, usize> =
        world.waiting.iter().map(|(ticket, sent)| (*ticket, sent.callers)).collect();

    world.queue.set_ranks(|ticket| Some(if workspaces[&ticket] == 0 { 2 } else { 1 }));
    let mut first = None;
    world.queue.dispatch(|ticket, _| {
        first.get_or_insert(ticket);
        Placement::Full
    });

    assert_eq!(workspaces[&first.expect("one waits")], 1, "b goes first now");
    assert_eq!(world.queue.waiting_by_rank().into_keys().collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn callers_are_told_to_return_once_what_is_lost_is_repaired() {
    let longest_return = |recovery| {
        let mut world = World::new();
        world.run(&[callers("a", 1, capacity() * 0.8)], Duration::from_secs(3));
        world.slots = SLOTS / 10;
        world.queue.set_recovery(recovery);
        world.run(&[callers("a", 1, capacity())], Duration::from_secs(3));
        world.outcomes["a"].longest_return
    };
    let recovery = Recovery { after: Duration::from_millis(1_500), factor: 10.0 };

    let unknown = longest_return(None);
    let known = longest_return(Some(recovery));

    assert!(known < unknown, "{known:?}, without a forecast {unknown:?}");
    assert!(known > recovery.after, "{known:?}");
}

#[test]
fn where_all_is_full_the_newest_of_the_largest_workspace_is_refused() {
    let clock = ManualClock::new();
    let bounds = QueueBounds::new().with_requests(100, 20);
    let mut queue = CapacityQueue::new(clock, bounds);
    let offer = |queue: &mut CapacityQueue<ManualClock>, ticket: u64, workspace: &str| {
        let demand = CapacityDemand {
            ticket,
            workspace: workspace.to_owned(),
            rank: 1,
            is_resumed: false,
            request: ticket,
            tokens: TOKENS,
            bytes: 0,
            max_wait: MAX_WAIT,
        };
        queue.offer(&demand).is_ok()
    };
    assert!((1..=20).all(|ticket| offer(&mut queue, ticket, "flood")));

    let is_queued = offer(&mut queue, 21, "other");
    let decisions = queue.dispatch(|_, _| Placement::Full);

    assert!(is_queued);
    let [(20, CapacityDecision::Refuse(refusal))] = decisions[..] else { panic!("{decisions:?}") };
    assert_eq!(refusal.refusal, Refusal::Capacity);
    assert_eq!(queue.len(), 20);
    assert!(!offer(&mut queue, 22, "flood"), "its own workspace holds the most");
}
