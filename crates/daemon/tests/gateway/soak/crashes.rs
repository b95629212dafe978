//! A request that crashes each engine that runs it, repeated at all gateways while these end, pause and lose the store.

use super::world::World;
use crate::fleet::send_body;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use sorrellock_stand_ins::FakeEngine;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Body of the request that crashes engines.
const CRASHING: &str = "crash";
/// Path of the request.
const PATH: &str = "/match/a";
/// Time from the begin of its run until an engine has crashed, in ms.
const CRASH_AFTER_MS: std::ops::Range<u64> = 0..80;
/// Time until a crashed engine is back, in ms.
const DOWN: Duration = Duration::from_millis(700);
/// Time between two repeats, in ms.
const REPEAT_MS: std::ops::Range<u64> = 30..600;
/// Within this time of the third crash, gateways that nothing happened to hold the request back.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// How long it is repeated in the end, when nothing else happens.
const CALM: Duration = Duration::from_secs(4);
const CALM_INTERVAL: Duration = Duration::from_millis(80);
/// How often it may be sent to engines in that time.
const MAX_LATER_SENDS: usize = 3;

/// What runs beside the faults.
pub struct Crashing {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crashing {
    /// Has engines crash on the request and start again, and callers repeat it.
    pub fn start(world: &World, rng: &mut StdRng) -> Crashing {
        make_crash(world, rng);
        let is_over = Arc::new(AtomicBool::new(false));
        let engines: Vec<FakeEngine> = world.engines.iter().map(|(one, _)| one.clone()).collect();
        let to: Vec<SocketAddr> = world.nodes.iter().map(|node| node.process.callers()).collect();
        let gap = Duration::from_millis(rng.random_range(REPEAT_MS));
        let (over_engines, over_callers) = (Arc::clone(&is_over), Arc::clone(&is_over));
        let threads = vec![
            thread::spawn(move || revive(&engines, &over_engines)),
            thread::spawn(move || repeat(&to, gap, &over_callers)),
        ];
        Crashing { is_over, threads }
    }

    /// Ends both.
    pub fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a thread"));
    }
}

/// Has all engines crash on the request. They are reached directly, as a proxy would accept connections for them.
fn make_crash(world: &World, rng: &mut StdRng) {
    for (engine, _) in &world.engines {
        engine.crash_on(CRASHING, Duration::from_millis(rng.random_range(CRASH_AFTER_MS)));
        engine.tell_addr(engine.addr());
    }
}

fn revive(engines: &[FakeEngine], is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let crashed: Vec<&FakeEngine> = engines.iter().filter(|one| one.is_crashed()).collect();
        thread::sleep(DOWN);
        crashed.into_iter().for_each(FakeEngine::restart);
    }
}

fn repeat(to: &[SocketAddr], gap: Duration, is_over: &AtomicBool) {
    let mut all = to.iter().cycle();
    while !is_over.load(Ordering::Relaxed) {
        let to = *all.next().expect("there are gateways");
        // Each in a thread of its own: a gateway that is paused answers late.
        thread::spawn(move || send_body(to, PATH, CRASHING));
        thread::sleep(gap);
    }
}

impl World {
    /// Something that happens to a gateway or the store. Says what it did.
    pub fn fault_beside_crashes(&mut self, rng: &mut StdRng) -> String {
        let node = rng.random_range(0..self.nodes.len());
        self.keep_copy();
        match rng.random_range(0..18) {
            0 | 1 => self.restart_gateway(node, Signal::SIGKILL),
            2 => self.restart_gateway(node, Signal::SIGTERM),
            3 | 4 => self.pause(node),
            5 => self.set_store_mode(rng),
            6 => self.set_store_proxy(node, rng),
            7 => self.come_back(rng),
            8..12 => self.name_limit(rng),
            12..15 => self.ask_backoff(rng),
            15..17 => self.say_leaving(rng),
            _ => self.restart_all(),
        }
    }

    /// Ends all gateways at once, and starts their successors.
    fn restart_all(&mut self) -> String {
        for node in &mut self.nodes {
            node.resume();
            node.process.signal(Signal::SIGKILL);
        }
        self.nodes.iter_mut().for_each(|node| node.replace());
        "all gateways are restarted by SIGKILL".into()
    }

    /// Ends all faults. The engines that come crash on the request, too.
    pub fn heal_beside_crashes(&mut self, rng: &mut StdRng) {
        self.engines.iter().for_each(|(engine, _)| engine.name_limits(&[]));
        self.heal_notices();
        self.heal();
        make_crash(self, rng);
    }

    /// Repeats the request when nothing else happens, one at a time. Tells if it still reaches engines too often.
    pub fn check_held(&self) -> Result<(), String> {
        thread::sleep(STABLE_WINDOW);
        let began = Instant::now();
        let mut all = self.nodes.iter().cycle();
        while began.elapsed() < CALM {
            let node = all.next().expect("there are gateways");
            send_body(node.process.callers(), PATH, CRASHING);
            thread::sleep(CALM_INTERVAL);
        }
        let seen: Vec<_> = self.engines.iter().map(|(engine, _)| engine.seen()).collect();
        let mut crashes: Vec<Instant> = seen.iter().flat_map(|seen| seen.crashes.clone()).collect();
        crashes.sort();
        let Some(third) = crashes.get(2) else { return Ok(()) };
        let from = began.max(*third + STABLE_WINDOW);
        let sends = seen.iter().flat_map(|seen| &seen.crashing_requests);
        match sends.filter(|at| **at > from).count() {
            later if later <= MAX_LATER_SENDS => Ok(()),
            later => {
                let count = crashes.len();
                Err(format!("{later} later sends, {count} crashes in all\n{}", self.crash_lines()))
            }
        }
    }

    /// What gateways logged of requests that crash engines.
    pub fn crash_lines(&self) -> String {
        let texts = ["ended under requests", "\"request held", "request released", "held request"];
        let lines = self.nodes.iter().flat_map(|node| {
            let lines = texts.iter().flat_map(|text| node.process.lines(&[text]));
            lines.map(|line| format!("{}: {line}", node.name))
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}
