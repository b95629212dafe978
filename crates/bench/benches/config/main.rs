//! Measures the configuration: pages and the view by number of workspaces, the spread among many
//! state machines on a paused clock, and the time to in force in fleets of real daemons.

mod agent;
mod fleets;
mod pages;
mod spread;

// The model of the store and the network that the fuzzing of the core drives.
#[allow(dead_code)]
#[path = "../../../core/tests/config_spread/store.rs"]
mod store;
#[allow(dead_code)]
#[path = "../../../core/tests/config_spread/world.rs"]
mod world;

use sorrellock_daemon::process::{LogFormat, set_up_log};
use std::process::ExitCode;

fn main() -> ExitCode {
    set_up_log(LogFormat::Off);
    pages::measure();
    agent::measure();
    let spread = spread::measure();
    let fleets = fleets::measure();
    if spread && fleets {
        return ExitCode::SUCCESS;
    }
    eprintln!("a change did not come into force everywhere");
    ExitCode::FAILURE
}

/// Prints one figure.
pub(crate) fn figure(name: &str, value: f64, unit: &str) {
    println!("figure config.{name} {value:.3} {unit}");
}
