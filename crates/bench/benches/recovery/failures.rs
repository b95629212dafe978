//! Answers of 1,000 tokens, stages of which are killed, hang and leave about halfway.

use crate::callers::Streams;
use crate::work::repeated;
use sorrellock_bench::{Latencies, figure, figure_f64};
use sorrellock_daemon::process::{Count, LogFormat, set_up_log};
use sorrellock_local::{LocalConfig, LocalEngine, LocalFleet};
use std::collections::HashSet;
use std::thread;
use std::time::{Duration, Instant};

/// Answers at once.
const ANSWERS: usize = 24;
/// Tokens of each.
const TOKENS: u32 = 1_000;
/// Tokens after which the failures begin.
const HALF: usize = 400;
/// Time between failures.
const APART: Duration = Duration::from_millis(450);
/// Engines that hold the same layers.
const REPLICAS: usize = 5;
/// A step of an engine: its time whatever the batch, and for each token.
const STEP: (Duration, Duration) = (Duration::from_millis(3), Duration::from_micros(20));
/// Answers that the naive client starts anew at the first failure.
const NAIVE: usize = 4;
/// How long a drain may take.
const DRAIN: Duration = Duration::from_secs(20);

/// The index of the kind of failure that loses nothing.
const LEAVING: usize = 3;

/// The waits after one kind of failure.
struct Waits {
    name: &'static str,
    latencies: Latencies,
}

impl Waits {
    fn new(name: &'static str) -> Waits {
        Waits { name, latencies: Latencies::new() }
    }

    fn add(&mut self, waits: Vec<Duration>) {
        waits.into_iter().for_each(|wait| self.latencies.add(wait));
    }

    fn print(&self) {
        self.latencies.print_ms(&format!("recovery.{}", self.name));
        figure(&format!("recovery.{}.samples", self.name), self.latencies.count(), "answers");
    }
}

/// Runs all failures on one fleet; tells what is broken.
pub fn measure() -> Vec<String> {
    set_up_log(LogFormat::Off);
    let cfg = LocalConfig::new()
        .with_services(0)
        .with_pipeline(3, REPLICAS)
        .with_activation_bytes(4 << 10)
        .with_times(STEP.0, STEP.1);
    let fleet = LocalFleet::start(cfg).expect("the fleet starts");
    let answers = Streams::new("answer", ANSWERS, TOKENS);
    let naive = Streams::new("naive", NAIVE, HALF as u32 + 1);
    thread::scope(|scope| {
        let handles = answers.start(scope, &fleet);
        answers.wait_for(HALF);
        let first = Instant::now();
        let restarts = naive.start(scope, &fleet);
        let mut failures = Failures::new(&fleet, &answers);
        let leaving = failures.run(scope);
        let lost = handles.into_iter().map(|handle| handle.join());
        let lost = lost.filter(|whole| !matches!(whole, Ok(true))).count();
        restarts.into_iter().for_each(|handle| drop(handle.join()));
        leaving.into_iter().for_each(|handle| drop(handle.join()));
        failures.print(&naive, first, lost)
    })
}

struct Failures<'f> {
    fleet: &'f LocalFleet,
    answers: &'f Streams,
    /// Killed, hanging or left.
    gone: HashSet<usize>,
    /// Killed or hanging.
    lost: HashSet<usize>,
    waits: [Waits; 4],
}

impl<'f> Failures<'f> {
    fn new(fleet: &'f LocalFleet, answers: &'f Streams) -> Failures<'f> {
        let waits = ["replay", "two_deaths", "frozen", "leaving"].map(Waits::new);
        Failures { fleet, answers, gone: HashSet::new(), lost: HashSet::new(), waits }
    }

    fn run<'s>(
        &mut self,
        scope: &'s thread::Scope<'s, '_>,
    ) -> Vec<thread::ScopedJoinHandle<'s, bool>>
    where
        'f: 's,
    {
        let fleet = self.fleet;
        for stage in 0..3 {
            self.fail(0, &[stage], |index| fleet.kill(index));
        }
        self.fail(1, &[0, 1], |index| fleet.kill(index));
        for stage in [2, 1] {
            self.fail(2, &[stage], |index| fleet.engines[index].engine.freeze());
        }
        let mut leaving = Vec::new();
        for stage in [2, 0] {
            self.fail(LEAVING, &[stage], |index| {
                leaving.push(scope.spawn(move || fleet.engines[index].beside.drain(DRAIN)));
            });
        }
        leaving
    }

    /// Lets the busiest engine of each of `stages` fail, and notes how long the answers waited
    /// that passed there.
    fn fail(&mut self, kind: usize, stages: &[u16], mut how: impl FnMut(usize)) {
        let picked: Vec<(usize, u64)> = stages.iter().map(|stage| self.busiest(*stage)).collect();
        let at = Instant::now();
        picked.iter().for_each(|(index, _)| how(*index));
        thread::sleep(APART);
        let passed: u64 = picked.iter().map(|(_, open)| open).sum();
        let waits = self.answers.longest_waits(at, (passed as usize).min(ANSWERS));
        self.waits[kind].add(waits);
        self.gone.extend(picked.iter().map(|(index, _)| *index));
        if kind != LEAVING {
            self.lost.extend(picked.iter().map(|(index, _)| *index));
        }
    }

    /// The engine of a stage with the most answers open, and how many these are.
    fn busiest(&self, stage: u16) -> (usize, u64) {
        let engines = self.fleet.engines.iter().enumerate();
        let left = engines.filter(|(index, e)| e.stage == stage && !self.gone.contains(index));
        let open = left.map(|(index, engine)| (index, engine.beside.open_work() as u64));
        open.max_by_key(|(_, open)| *open).expect("engines are left")
    }

    fn print(&self, naive: &Streams, first: Instant, lost: usize) -> Vec<String> {
        self.waits.iter().for_each(Waits::print);
        let mut restart = Latencies::new();
        let whole = naive.all.iter().filter_map(|stream| stream.time_of(HALF));
        whole.for_each(|time| restart.add(time - first));
        restart.print_ms("recovery.naive");
        let ours = self.waits[0].latencies.quantile(0.5);
        let ratio = restart.quantile(0.5).as_secs_f64() / ours.as_secs_f64();
        figure_f64("recovery.ratio", ratio, "x");
        figure("recovery.lost", lost, "answers");
        let repeated = repeated(self.fleet, &self.lost);
        figure("recovery.repeated", repeated, "layer applications");
        let entry = &self.fleet.entries[0];
        let stuck = |engine: &LocalEngine| engine.beside.counter(Count::EnginesStuck);
        let stuck: u64 = self.fleet.engines.iter().map(stuck).sum();
        figure("recovery.engines_found_hanging", stuck, "times, of 2 that were");
        figure("recovery.stages_blamed", entry.counter(Count::StagesBlamed), "stages");
        figure("recovery.reroutes", entry.counter(Count::Reroutes), "attempts");
        let mut broken = Vec::new();
        if lost > 0 {
            broken.push(format!("{lost} answers were lost or wrong"));
        }
        if repeated > 0 {
            broken.push(format!("{repeated} layer applications ran again beyond the lost ones"));
        }
        if restart.count() < NAIVE as u64 {
            broken.push("a naive answer did not come".to_owned());
        }
        broken
    }
}
