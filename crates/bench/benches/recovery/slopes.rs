//! How recovery time and retained bytes grow with position and with stages.

use crate::callers::Streams;
use sorrellock_bench::{Latencies, figure_f64};
use sorrellock_local::{LocalConfig, LocalFleet};
use std::thread;
use std::time::{Duration, Instant};

/// Answers at once.
const ANSWERS: usize = 4;
/// Tokens that follow the failure.
const AFTER: u32 = 150;
/// A step of an engine: its time whatever the batch, and for each token.
const STEP: (Duration, Duration) = (Duration::from_millis(1), Duration::from_micros(50));
/// Bytes of one activation.
const ACTIVATION: usize = 4 << 10;
/// Positions at which a stage of three dies.
const POSITIONS: [usize; 4] = [50, 150, 350, 600];
/// Stages of routes one of which dies at [`STAGES_AT`].
const STAGES: [usize; 3] = [2, 4, 8];
/// See [`STAGES`].
const STAGES_AT: usize = 100;

/// Answers with a failure at one position.
struct Point {
    wait: Duration,
    kept_each: f64,
}

/// Prints points and slopes; tells what is broken.
pub fn measure() -> Vec<String> {
    let mut by_position = Vec::new();
    for position in POSITIONS {
        let point = measure_at(3, position);
        print(&format!("position_{position}"), &point);
        by_position.push((position as f64, point));
    }
    for stages in STAGES {
        print(&format!("stages_{stages}"), &measure_at(stages, STAGES_AT));
    }
    let waits = by_position.iter().map(|(x, point)| (*x, point.wait.as_secs_f64() * 1e3));
    figure_f64("recovery.slope.replay_per_position", slope(waits.collect()), "ms");
    let kept = by_position.iter().map(|(x, point)| (*x, point.kept_each));
    figure_f64("recovery.slope.kept_per_position", slope(kept.collect()), "bytes");
    Vec::new()
}

fn print(name: &str, point: &Point) {
    figure_f64(&format!("recovery.{name}.replay_ms"), point.wait.as_secs_f64() * 1e3, "ms");
    figure_f64(&format!("recovery.{name}.kept_bytes"), point.kept_each, "bytes");
}

/// Kills stage 1 at `position`: the median wait, and the bytes kept for each answer by all
/// stages together just before.
fn measure_at(stages: usize, position: usize) -> Point {
    let cfg = LocalConfig::new()
        .with_services(0)
        .with_pipeline(stages, 2)
        .with_activation_bytes(ACTIVATION)
        .with_times(STEP.0, STEP.1);
    let fleet = LocalFleet::start(cfg).expect("the fleet starts");
    let answers = Streams::new("slope", ANSWERS, position as u32 + AFTER);
    thread::scope(|scope| {
        let handles = answers.start(scope, &fleet);
        answers.wait_for(position);
        let kept: usize = fleet.engines.iter().map(|engine| engine.beside.kept_bytes()).sum();
        let hit = fleet.engines[fleet.busiest(1)].beside.open_work();
        let at = Instant::now();
        fleet.kill_busiest(1);
        handles.into_iter().for_each(|handle| drop(handle.join()));
        let mut latencies = Latencies::new();
        answers.longest_waits(at, hit).into_iter().for_each(|wait| latencies.add(wait));
        Point { wait: latencies.quantile(0.5), kept_each: kept as f64 / ANSWERS as f64 }
    })
}

/// The least-squares slope.
fn slope(points: Vec<(f64, f64)>) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
