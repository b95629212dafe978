//! Planned work alone: a fleet of gateways as processes, each with a small share of a core, under new configurations, gateways
//! that are replaced, and engines that join and leave, without any fault.
//!
//! What users saw: streams ended without their last event around a new version of the configuration, several of them at several
//! gateways and at one engine, while nothing was out of order.
//!
//! Order of events: gateways read a version of more than a thousand routes, use up their share of the processor, and stand still for
//! most of several periods in a row. One that asked an engine meanwhile finds both of its questions unanswered as it goes on, and
//! suspects the engine; others, which have stood still as well and have not read the events that wait for them, believe it. Each
//! closed the runs of its streams over that engine, and truncated those that found no second attempt, budget or capacity.
//!
//! Evidence: the report of each run tells how many engines that were well were suspected, and for how long the gateway stood still
//! while it asked; the lines of a truncated request show the suspicions of the second before.
//!
//! `SOAK_PLANNED=gateways=30,streams=600,seconds=30,seeds=1..5 cargo test -p sorrellock-daemon --test gateway planned_work`
//! names other sizes; [`options::Options`] tells which there are.

mod callers;
mod check;
mod configs;
mod evidence;
mod exchange;
mod lag;
mod options;
mod quota;
mod report;
mod rotation;
mod work;
mod world;

use callers::{Callers, Crowd};
use check::Facts;
use options::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;
use report::{report, report_broken};
use rotation::Rotation;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use work::PlannedWork;
use world::{DATA_CENTRES, World};

/// Violations that are shown with their lines.
const MOST_SHOWN: usize = 4;

/// Plays one seed. Tells what broke the promise.
fn play(seed: u64, options: &Options) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = World::new(options.clone(), &mut rng);
    let gateways = world.nodes.iter().map(|node| (node.ip, node.data_centre));
    let rotation = Arc::new(Rotation::new(gateways));
    let is_over = Arc::new(AtomicBool::new(false));
    let follower = follow_engines(&world, &is_over);
    let crowd = Crowd { streams: options.streams, calls: options.calls, seed };
    let callers = Callers::start(crowd, &rotation, &DATA_CENTRES);
    let mut work = PlannedWork::new(seed, options);

    work.play(&mut world, Duration::from_secs(options.seconds));
    let mut seen = callers.stop();
    is_over.store(true, Ordering::Relaxed);
    follower.join().expect("the engines' lag");
    let ended = world.end();

    let facts = Facts::gather(&world);
    print!("{}", report(seed, &facts, &mut seen));
    keep_logs(seed, &world, &work);
    let (violations, disordered) =
        (facts.violations(&seen.exchanges), facts.disordered(&seen.exchanges));
    print!("{}", report_broken(&facts, &violations));
    println!("out of order: {}, gateways that ended by themselves: {ended:?}", disordered.len());
    let is_served = seen.exchanges.iter().any(|one| one.ask.is_stream && one.is_served());
    if is_served && violations.is_empty() && disordered.is_empty() && ended.is_empty() {
        return Ok(());
    }
    let shown: Vec<String> =
        violations.iter().take(MOST_SHOWN).map(|seen| facts.describe(seen)).collect();
    Err(format!(
        "seed {seed}: {} requests were truncated, a stream was served: {is_served}, ended: {ended:?}\n{}{}",
        violations.len(),
        shown.join("\n"),
        disordered.join("\n")
    ))
}

/// Follows the lag of the engines' threads.
fn follow_engines(world: &World, is_over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (lag, is_over) = (world.engine_lag.clone(), Arc::clone(is_over));
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(lag.follow(|| is_over.load(Ordering::Relaxed)));
    })
}

fn keep_logs(seed: u64, world: &World, work: &PlannedWork) {
    let Some(folder) = &world.options.logs else { return };
    let folder = folder.join(format!("seed-{seed}"));
    fs::create_dir_all(&folder).expect("the folder for logs");
    fs::write(folder.join("course.txt"), work.course.join("\n")).expect("the course");
    for node in &world.nodes {
        let lines: Vec<String> = node
            .incarnations
            .iter()
            .flat_map(|incarnation| incarnation.process.lines(&[]))
            .collect();
        fs::write(folder.join(&node.name), lines.join("\n")).expect("a log");
    }
}

#[test]
fn planned_work_alone_truncates_no_answer() {
    let options = Options::from_env();

    let broken: Vec<String> =
        options.seeds.iter().filter_map(|seed| play(*seed, &options).err()).collect();

    assert!(
        broken.is_empty(),
        "{} of {} seeds:\n{}",
        broken.len(),
        options.seeds.len(),
        broken.join("\n")
    );
}
