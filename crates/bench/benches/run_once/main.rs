//! The run-once ledger on a stand-in store limited to 200 writes a second.
//!
//! An open load of claims, with retries through another holder and a holder killed in its middle;
//! the same load with one put for each claim; takeovers; slopes of heads and of retained keys.

mod load;
mod slopes;
mod store;
mod takeover;

use load::{Load, LoadConfig};
use std::process::ExitCode;
use std::time::Duration;

/// Claims a second that are offered.
const OFFERED_PER_S: f64 = 1_000.0;
/// How long the load lasts.
const LOAD: Duration = Duration::from_secs(10);
/// How long the naive load lasts.
const NAIVE: Duration = Duration::from_secs(5);

fn main() -> ExitCode {
    // `cargo test` runs benches with `--test`; there is nothing to measure then.
    if std::env::args().any(|arg| arg == "--test") {
        return ExitCode::SUCCESS;
    }
    slopes::run_retained();
    let mut ok = true;
    let grouped = Load::run(&LoadConfig::grouped(OFFERED_PER_S, LOAD));
    grouped.print("run_once");
    ok &= grouped.check();
    let naive = Load::run(&LoadConfig::naive(OFFERED_PER_S, NAIVE));
    naive.print("run_once.naive");
    ok &= naive.check();
    takeover::run();
    slopes::run();
    if ok { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// One line of the output.
fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.3} {unit}");
}
