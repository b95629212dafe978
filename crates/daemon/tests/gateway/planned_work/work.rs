//! Planned work in series that overlap, each series drawn from the seed by itself.

use super::configs::LEXIS;
use super::lag::now_ms;
use super::options::{Options, Series, Variant};
use super::world::World;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

/// How often the series are looked at.
const TICK: Duration = Duration::from_millis(5);
/// Between two versions of the configuration, in ms.
const CONFIG_GAP_MS: Range<u64> = 800..1_200;
/// Between two SIGHUPs, in ms.
const HANG_UP_GAP_MS: Range<u64> = 400..1_500;
/// All gateways are replaced within about this time, one after another.
const ROLL_MS: u64 = 40_000;
/// Between two engines that join to replace another, in ms.
const JOIN_GAP_MS: Range<u64> = 3_000..6_000;
/// From an engine's start until the one that it replaces says that it leaves, in ms.
const LEAVE_AFTER_MS: Range<u64> = 800..2_500;
/// From then until that one ends, in ms: the settings promise two seconds.
const END_AFTER_MS: Range<u64> = 2_300..6_000;
/// Between two pauses of gateways, and how long one lasts, in ms.
const PAUSE_GAP_MS: Range<u64> = 300..1_000;
const PAUSE_MS: Range<u64> = 100..400;
/// Between two pauses of an engine, in ms.
const ENGINE_PAUSE_GAP_MS: Range<u64> = 2_000..4_000;

/// Something that is done at a set time.
enum Step {
    Configure,
    EndGateway,
    HangUp,
    Join,
    Leave(usize),
    EndEngine(usize),
    PauseGateway,
    PauseEngine,
    ResumeEngine(usize),
}

/// The steps to come, each with its time.
pub struct PlannedWork {
    steps: Vec<(Instant, Step)>,
    rng: StdRng,
    next_gateway: usize,
    /// What was done, with the time since the start in ms.
    pub course: Vec<String>,
    began: Instant,
}

impl PlannedWork {
    pub fn new(seed: u64, options: &Options) -> PlannedWork {
        let began = Instant::now();
        let first = |series: &Series| match series {
            Series::Configs => (began, Step::Configure),
            Series::Gateways => (began, Step::EndGateway),
            Series::HangUps => (began, Step::HangUp),
            Series::Engines => (began, Step::Join),
        };
        let mut steps: Vec<(Instant, Step)> = options.series.iter().map(first).collect();
        match options.variant {
            Variant::GatewayPauses => steps.push((began, Step::PauseGateway)),
            Variant::EnginePauses(_) => steps.push((began, Step::PauseEngine)),
            Variant::Plain | Variant::LateReports | Variant::Full => {}
        }
        let rng = StdRng::seed_from_u64(seed);
        PlannedWork { steps, rng, next_gateway: 0, course: Vec::new(), began }
    }

    /// Does what is due for so long.
    pub fn play(&mut self, world: &mut World, lasts: Duration) {
        while self.began.elapsed() < lasts {
            thread::sleep(TICK);
            let replaced = world.replace_ended(&mut self.rng);
            replaced.into_iter().for_each(|what| self.note(what));
            while let Some(due) = self.steps.iter().position(|(at, _)| *at <= Instant::now()) {
                let (_, step) = self.steps.swap_remove(due);
                self.make(world, step);
            }
        }
        for engine in &world.engines {
            engine.fake.set_paused(false);
        }
    }

    fn note(&mut self, what: String) {
        self.course.push(format!("{} {what}", self.began.elapsed().as_millis()));
    }

    fn then(&mut self, after_ms: Range<u64>, step: Step) {
        let after = Duration::from_millis(self.rng.random_range(after_ms));
        self.steps.push((Instant::now() + after, step));
    }

    fn make(&mut self, world: &mut World, step: Step) {
        match step {
            Step::Configure => {
                let what = world.operator.change(&mut self.rng);
                world.store.put("config", "main", world.operator.config());
                self.note(what);
                self.then(CONFIG_GAP_MS, Step::Configure);
            }
            Step::EndGateway => self.end_gateway(world),
            Step::HangUp => self.hang_up(world),
            Step::Join => self.join(world),
            Step::Leave(index) => {
                let engine = &mut world.engines[index];
                engine.left_ms = Some(now_ms());
                engine.fake.leave();
                let what = format!("{} leaves", engine.fake.id());
                self.note(what);
                self.then(END_AFTER_MS, Step::EndEngine(index));
            }
            Step::EndEngine(index) => {
                let engine = &mut world.engines[index];
                engine.ended_ms = Some(now_ms());
                engine.fake.crash();
                world.store.remove("servers", engine.fake.id());
                let what = format!("{} has ended", engine.fake.id());
                self.note(what);
            }
            Step::PauseGateway => {
                let index = self.rng.random_range(0..world.nodes.len());
                let lasts = Duration::from_millis(self.rng.random_range(PAUSE_MS));
                world.quotas.pause(world.nodes[index].process().pid(), lasts);
                self.note(format!("{} pauses for {lasts:?}", world.nodes[index].name));
                self.then(PAUSE_GAP_MS, Step::PauseGateway);
            }
            Step::PauseEngine => self.pause_engine(world),
            Step::ResumeEngine(index) => {
                let engine = &mut world.engines[index];
                engine.fake.set_paused(false);
                if let Some(pause) = engine.pauses.last_mut() {
                    pause.1 = now_ms();
                }
                let what = format!("{} goes on", engine.fake.id());
                self.note(what);
            }
        }
    }

    /// The next gateway is told to end, whether or not the one before it has ended.
    fn end_gateway(&mut self, world: &mut World) {
        let index = self.next_gateway % world.nodes.len();
        self.next_gateway += 1;
        let node = &world.nodes[index];
        if node.killed_at.is_none() && node.process().is_ready() {
            world.terminate(index);
            self.note(format!("{} gets SIGTERM", world.nodes[index].name));
        }
        let gap = ROLL_MS / world.nodes.len() as u64;
        self.then(gap * 7 / 10..gap * 13 / 10, Step::EndGateway);
    }

    fn hang_up(&mut self, world: &mut World) {
        let node = &world.nodes[self.rng.random_range(0..world.nodes.len())];
        if node.killed_at.is_none() {
            let ratio = if self.rng.random() { "0.2" } else { "0.20001" };
            node.process().change_settings(|text| {
                let is_bound = |line: &&str| line.starts_with("retry_budget_ratio");
                let before = text.lines().find(is_bound).expect("the bound is set");
                text.replace(before, &format!("retry_budget_ratio = {ratio}"))
            });
            self.note(format!("{} gets SIGHUP", node.name));
        }
        self.then(HANG_UP_GAP_MS, Step::HangUp);
    }

    /// An engine joins that replaces another one of its service and data centre.
    fn join(&mut self, world: &mut World) {
        let stays: Vec<usize> = (0..world.engines.len())
            .filter(|index| world.engines[*index].left_ms.is_none())
            .collect();
        let index = stays[self.rng.random_range(0..stays.len())];
        let (service, data_centre) =
            (world.engines[index].service, world.engines[index].data_centre);
        let id = world.add_engine(service, data_centre);
        self.note(format!("{id} joins"));
        self.then(LEAVE_AFTER_MS, Step::Leave(index));
        self.then(JOIN_GAP_MS, Step::Join);
    }

    /// A first engine of paths pauses.
    fn pause_engine(&mut self, world: &mut World) {
        let Variant::EnginePauses(lasts) = world.options.variant else { return };
        let is_first = |index: &usize| {
            let engine = &world.engines[*index];
            let (from, to) = engine.fake.layers();
            engine.service == LEXIS && engine.left_ms.is_none() && from == 0 && to > 0
        };
        let first: Vec<usize> = (0..world.engines.len()).filter(is_first).collect();
        if let Some(index) = first.get(self.rng.random_range(0..first.len().max(1))) {
            let engine = &mut world.engines[*index];
            engine.fake.set_paused(true);
            engine.pauses.push((now_ms(), u64::MAX));
            let what = format!("{} pauses", engine.fake.id());
            self.note(what);
            self.steps.push((Instant::now() + lasts, Step::ResumeEngine(*index)));
        }
        self.then(ENGINE_PAUSE_GAP_MS, Step::PauseEngine);
    }
}
