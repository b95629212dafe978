//! Route choice: what one choice costs, and how it fares in a small queueing model against the
//! naive ways, random and least loaded, in the same run.
//!
//! The model: clients each send a request, wait for it, and send the next. A request takes a step
//! at each engine of its route for each of its tokens; a step takes longer in proportion once more
//! requests share the engine than it has slots. Entries know their own requests at once, and the
//! load of the engines as of the last report.

use eyre::{Result, ensure};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_bench::{Latencies, figure_f64};
use sorrellock_core::id::Layer;
use sorrellock_core::request::{
    Candidate, LayerRange, LinkCosts, Peer, Route, choose_route, expected_load,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SEED: u64 = 4711;
const LAYERS: Layer = 48;
const STAGES: usize = 8;
const PLACES: usize = 7;
const ENGINES: usize = 784;
const ENTRIES: usize = 12;
const SLOTS: u32 = 64;
/// Clients at a time, as a share of all slots of a stage.
const LOAD: f64 = 0.9;
const REQUESTS: usize = 60_000;
/// Tokens of a request.
const TOKENS: f64 = 100.0;
/// Time of a step at an engine that has room, in microseconds.
const STEP_US: f64 = 4_000.0;
/// Transit within a place and between two, in microseconds: a hundredfold.
const NEAR_US: u64 = 50;
const FAR_US: u64 = 5_000;
/// Age of the reports when they are replaced, in microseconds of the model.
const REPORTS_EVERY_US: u64 = 1_000_000;
/// Choices timed for each number of candidates.
const CHOICES: u32 = 2_000;

fn main() -> Result<()> {
    let costs: Vec<(usize, f64)> =
        [98, 196, 392, 784].into_iter().map(|n| (n, choice_us(n))).collect();
    for (count, us) in &costs {
        figure_f64(&format!("routing.choice_us.{count}"), *us, "us");
    }
    let ((few, cheap), (many, dear)) = (costs[0], costs[costs.len() - 1]);
    figure_f64("routing.choice_us.slope", (dear - cheap) / (many - few) as f64 * 100.0, "us/100");
    let policies =
        [("", Policy::Cheapest), (".naive", Policy::Random), (".naive_least", Policy::LeastLoaded)];
    for (name, policy) in policies {
        let run = Model::new(policy).run()?;
        figure_f64(&format!("routing.requests_per_s{name}"), run.requests_per_s, "requests/s");
        run.times.print_ms(&format!("routing.request_time{name}"));
    }
    Ok(())
}

fn choice_us(count: usize) -> f64 {
    let (candidates, links) = (engines(count), links());
    let (mut rng, start) = (StdRng::seed_from_u64(SEED), place(0));
    let begun = Instant::now();
    for _ in 0..CHOICES {
        black_box(choose_route(&candidates, LAYERS, &start, &links, &mut rng));
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(CHOICES)
}

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Cheapest,
    Random,
    LeastLoaded,
}

struct Model {
    policy: Policy,
    engines: Vec<Candidate>,
    links: LinkCosts,
    load: Vec<u32>,
    reported: Vec<u32>,
    own: Vec<Vec<u32>>,
    own_at_report: Vec<Vec<u32>>,
    rng: StdRng,
}

struct Run {
    requests_per_s: f64,
    times: Latencies,
}

/// A request in progress: when it ends, and in what order it began.
type Ending = Reverse<(u64, usize)>;

impl Model {
    fn new(policy: Policy) -> Model {
        let engines = engines(ENGINES);
        let none = vec![0; engines.len()];
        let (links, rng) = (links(), StdRng::seed_from_u64(SEED));
        let (load, reported) = (none.clone(), none.clone());
        let (own, own_at_report) = (vec![none.clone(); ENTRIES], vec![none; ENTRIES]);
        Model { policy, engines, links, load, reported, own, own_at_report, rng }
    }

    fn run(mut self) -> Result<Run> {
        let clients = ((ENGINES / STAGES * SLOTS as usize) as f64 * LOAD) as usize;
        let mut ending: BinaryHeap<Ending> = BinaryHeap::new();
        let mut routes: BTreeMap<usize, (usize, Vec<usize>)> = BTreeMap::new();
        let (mut times, mut now, mut next_report) = (Latencies::new(), 0, 0);
        for number in 0..REQUESTS + clients {
            if number >= clients {
                let Some(Reverse((at, ended))) = ending.pop() else { break };
                now = at;
                let (entry, route) = routes.remove(&ended).unwrap_or_default();
                self.count(entry, &route, false);
            }
            if now >= next_report {
                self.reported = self.load.clone();
                self.own_at_report = self.own.clone();
                next_report = now + REPORTS_EVERY_US;
            }
            let entry = number % ENTRIES;
            let route = self.choose(entry);
            ensure!(route.len() == STAGES, "a route of {} stages", route.len());
            let took = self.time_us(entry, &route);
            self.count(entry, &route, true);
            times.add(Duration::from_micros(took));
            ending.push(Reverse((now + took, number)));
            routes.insert(number, (entry, route));
        }
        Ok(Run { requests_per_s: REQUESTS as f64 / (now as f64 / 1e6), times })
    }

    /// Indices of the engines of the route that the policy chooses for an entry.
    fn choose(&mut self, entry: usize) -> Vec<usize> {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            let (own, then) = (self.own[entry][index], self.own_at_report[entry][index]);
            engine.load = expected_load(self.reported[index], own, then);
        }
        if self.policy == Policy::Cheapest {
            let start = place(entry);
            let links = &self.links;
            let route = choose_route(&self.engines, LAYERS, &start, links, &mut self.rng);
            return route.map(indices).unwrap_or_default();
        }
        (0..STAGES).map(|stage| self.choose_alone(stage)).collect()
    }

    /// An engine of a stage, whatever the others are.
    fn choose_alone(&mut self, stage: usize) -> usize {
        let of_stage = (stage..ENGINES).step_by(STAGES);
        match self.policy {
            Policy::Random => stage + STAGES * self.rng.random_range(0..ENGINES / STAGES),
            _ => of_stage.min_by_key(|index| self.engines[*index].load).unwrap_or(stage),
        }
    }

    fn time_us(&self, entry: usize, route: &[usize]) -> u64 {
        let (mut us, mut at) = (0.0, place(entry));
        for index in route {
            let engine = &self.engines[*index];
            let share = f64::from(self.load[*index] + 1) / f64::from(SLOTS);
            us += STEP_US * share.max(1.0) + self.links.between_us(&at, &engine.place);
            at = engine.place.clone();
        }
        ((us + self.links.between_us(&at, &place(entry))) * TOKENS) as u64
    }

    fn count(&mut self, entry: usize, route: &[usize], begins: bool) {
        for index in route {
            for load in [&mut self.load[*index], &mut self.own[entry][*index]] {
                *load = if begins { *load + 1 } else { *load - 1 };
            }
        }
    }
}

/// Engines, stage after stage, over all places.
fn engines(count: usize) -> Vec<Candidate> {
    let per_stage = LAYERS / STAGES as Layer;
    let engine = |number: usize| {
        let first = (number % STAGES) as Layer * per_stage;
        let addr = SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16));
        Candidate {
            daemon: Peer { addr, incarnation: 1 },
            place: place(number / STAGES),
            endpoint: number.to_string(),
            layers: LayerRange::new(first, first + per_stage),
            load: 0,
            slots: SLOTS,
        }
    };
    (0..count).map(engine).collect()
}

fn indices(route: Route) -> Vec<usize> {
    route.hops.iter().filter_map(|hop| hop.endpoint.parse().ok()).collect()
}

fn place(number: usize) -> String {
    format!("place-{}", number % PLACES)
}

fn links() -> LinkCosts {
    let mut links = LinkCosts::new();
    for a in 0..PLACES {
        for b in a..PLACES {
            let us = if a == b { NEAR_US } else { FAR_US };
            links.measure(&place(a), &place(b), Duration::from_micros(us));
        }
    }
    links
}
