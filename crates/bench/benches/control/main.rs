//! What control costs: real daemons in growing fleets, and the pure core alone at the target size.
//!
//! This program is its own daemon: started with `beside …` it behaves as `sorrellockd beside …`, so
//! that the daemons are real processes without a second build.

mod core_fleet;
mod daemons;
mod slope;

use core_fleet::measure_core;
use daemons::measure_daemons;
use std::process::ExitCode;

fn main() -> ExitCode {
    if std::env::args().nth(1).is_some_and(|arg| arg == "beside") {
        return sorrellock_daemon::cli::run();
    }
    let core = if only("daemons") { Vec::new() } else { measure_core() };
    let daemons = if only("core") || only("double") { Vec::new() } else { measure_daemons() };
    for broken in core.iter().chain(&daemons) {
        eprintln!("broken: {broken}");
    }
    if core.is_empty() && daemons.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Whether `CONTROL_ONLY` asks for one part alone.
fn only(part: &str) -> bool {
    std::env::var("CONTROL_ONLY").is_ok_and(|only| only == part)
}

/// Prints one figure.
fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.2} {unit}");
}
