//! A soak: real gateways as processes, random faults from outside, and the promises checked from
//! what callers and endpoints see. One seed gives one course of faults.
//!
//! `SOAK_SEEDS=100..150 cargo test -p sorrellock-daemon --test gateway soak` runs more seeds,
//! `SOAK_GATEWAYS=20` more processes.

mod callers;
mod crashes;
mod eras;
mod faults;
mod limits;
mod notices;
pub mod promises;
mod silences;
mod world;

use callers::{Call, Callers};
use crashes::Crashing;
use promises::{Heard, check_answers_came, check_runs};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::thread;
use std::time::{Duration, Instant};
use world::{Node, World};

use crate::fleet::new_request;
use crate::gateway_process::{PATIENCE, wait_for};

/// Seeds of each run in CI.
const CI_SEEDS: [u64; 2] = [1, 2];
/// Seeds that failed once stay here, each with its cause.
const REGRESSIONS: [u64; 0] = [];
/// Between two events of a stream: a whole one takes 0.4 s.
const EVENT_GAP: Duration = Duration::from_millis(10);
/// The same beside signals, in ms: a whole stream takes 0.4 to 3 s, less than a process that ends
/// has for it.
const EVENT_GAPS_MS: std::ops::Range<u64> = 10..75;
/// Faults of one run.
const FAULTS: usize = 24;
/// Silences of one run.
const SILENCES: usize = 5;
/// Times that the store comes back from a copy in one run, and the most that happens before each.
const RETURNS: usize = 4;
const EVENTS_BEFORE_RETURN: usize = 4;
/// Faults of one run beside a request that crashes engines, and the time between two of them, in ms.
const FAULTS_BESIDE_CRASHES: usize = 8;
const CRASH_FAULT_GAP_MS: std::ops::Range<u64> = 100..1_500;
/// Series of signals of one run: two processes after each other have their whole time to end.
const SERIES: usize = 2;

/// Runs one seed of all faults.
fn soak_of_faults(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(seed, EVENT_GAP);
    let callers = Callers::start(&world);
    let mut course = Vec::new();

    for _ in 0..FAULTS {
        course.push(world.fault(&mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(20..400)));
    }
    world.heal();
    let heard = callers.stop();

    let known = world.check_change();
    known.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    check_runs(&world, &heard).unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    wait_for_service(&world, &format!("seed {seed}: service after {course:#?}"));
}

/// Runs one seed of silences, with a change after each.
fn soak_of_silences(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(seed, EVENT_GAP);
    wait_for_service(&world, "service before the first silence");
    let callers = Callers::start(&world);
    let mut course = Vec::new();

    for _ in 0..SILENCES {
        course.push(world.silence(&mut rng));
        let known = world.check_change();
        known.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    }
    let heard = callers.stop();

    check_runs(&world, &heard).unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
}

/// Runs one seed of a request that crashes engines, and of engines that name limits, ask for back-offs or say that they
/// leave, beside faults of gateways and the store.
fn soak_of_crashes(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(seed, EVENT_GAP);
    wait_for_service(&world, "service before the first crash");
    let callers = Callers::start(&world);
    let crashing = Crashing::start(&world, &mut rng);
    let mut course = Vec::new();

    for _ in 0..FAULTS_BESIDE_CRASHES {
        course.push(world.fault_beside_crashes(&mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(CRASH_FAULT_GAP_MS)));
    }
    crashing.stop();
    world.heal_beside_crashes(&mut rng);
    let heard = callers.stop();

    let held = check_service(&world).and_then(|()| world.check_limits());
    let held = held.and_then(|()| world.check_held());
    let held = held.and_then(|()| world.check_backoffs());
    let held = held.and_then(|()| world.check_leaving());
    let held = held.and_then(|()| check_runs(&world, &heard));
    held.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    wait_for_service(&world, &format!("seed {seed}: service after {course:#?} and more crashes"));
}

/// Runs one seed of returns of the store from a copy, each among other events, with a change after it.
fn soak_of_eras(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(seed, EVENT_GAP);
    wait_for_service(&world, "service before the first return");
    world.check_change().expect("the first change");
    let callers = Callers::start(&world);
    let (mut course, mut left) = (Vec::new(), Vec::new());

    for _ in 0..RETURNS {
        world.keep_copy();
        for _ in 0..rng.random_range(0..EVENTS_BEFORE_RETURN) {
            course.push(world.before_return(&mut rng, &mut left));
        }
        course.push(world.come_back(&mut rng));
        world.heal_store();
        let known = world.check_change().and_then(|()| eras::check_left(&left));
        known.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
        let revoked = world.version - 1;
        course.push(world.come_back(&mut rng));
        let stays = world.check_revoked(revoked).and_then(|()| eras::check_left(&left));
        stays.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    }
    let heard = callers.stop();

    check_runs(&world, &heard).unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    wait_for_service(&world, &format!("seed {seed}: service after {course:#?}"));
}

/// Runs one seed of signals alone: what processes took before they ended is answered.
fn soak_of_signals(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let gap = Duration::from_millis(rng.random_range(EVENT_GAPS_MS));
    let mut world = World::new(seed, gap);
    wait_for_service(&world, "service before the first signal");
    let callers = Callers::start(&world);
    let mut course = Vec::new();

    for _ in 0..SERIES {
        course.push(world.signals_in_series(&mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(0..500)));
    }
    let heard = callers.stop();

    let broken = check_runs(&world, &heard).and_then(|()| check_answers_came(&world, &heard));
    broken.unwrap_or_else(|broken| panic!("seed {seed}: {broken} {course:#?}"));
    assert!(heard.iter().any(Heard::is_whole_stream), "seed {seed}: no stream was served");
    wait_for_service(&world, &format!("seed {seed}: service after {course:#?}"));
}

/// Waits until each gateway serves a stream. Tells what the gateways logged of crashes if one doesn't.
fn check_service(world: &World) -> Result<(), String> {
    let began = Instant::now();
    while !world.nodes.iter().all(serves) {
        if began.elapsed() >= PATIENCE {
            return Err(format!("no service:\n{}", world.crash_lines()));
        }
    }
    Ok(())
}

fn serves(node: &Node) -> bool {
    let call = Call::stream(new_request());
    let heard = callers::call(&callers::once(), node.process.callers(), call);
    heard.is_whole_stream() && promises::check_stream(&heard).is_ok()
}

/// Waits until each gateway serves a stream.
fn wait_for_service(world: &World, what: &str) {
    for node in &world.nodes {
        wait_for(what, || serves(node));
    }
}

/// Runs the seeds that the environment names, or else those of each run.
fn with_seeds(run: impl FnMut(u64)) {
    match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("SOAK_SEEDS is FROM..TO");
            let (from, to): (u64, u64) =
                (from.parse().expect("a number"), to.parse().expect("a number"));
            (from..to).for_each(run);
        }
        Err(_) => CI_SEEDS.into_iter().chain(REGRESSIONS).for_each(run),
    }
}

#[test]
fn soak_with_the_seeds_of_each_run() {
    with_seeds(soak_of_faults);
}

#[test]
fn soak_of_signals_with_the_seeds_of_each_run() {
    with_seeds(soak_of_signals);
}

#[test]
fn soak_of_crashes_with_the_seeds_of_each_run() {
    with_seeds(soak_of_crashes);
}

#[test]
fn soak_of_eras_with_the_seeds_of_each_run() {
    with_seeds(soak_of_eras);
}

#[test]
fn soak_of_silences_with_the_seeds_of_each_run() {
    with_seeds(soak_of_silences);
}
