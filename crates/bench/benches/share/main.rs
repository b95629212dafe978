//! Sharing: limits over four entries, shares by weight, the wait of urgent work under overload.
//!
//! Limits and shares run in simulated time, so that load on the machine doesn't touch them; the wait of
//! urgent work is measured on a local fleet. Each figure has its naive baseline in the same run.

mod limits;
mod slopes;
mod urgent;
mod weights;

use std::process::ExitCode;

/// Prints a figure.
fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.3} {unit}");
}

fn main() -> ExitCode {
    let limits_hold = limits::measure();
    let weights_hold = weights::measure();
    slopes::measure();
    let urgent_holds = urgent::measure();
    if limits_hold && weights_hold && urgent_holds { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
