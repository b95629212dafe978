//! How long callers wait when stages die, hang and leave, against a naive restart, and what runs
//! again for it.

mod callers;
mod failures;
mod slopes;
mod throughput;
mod work;

use std::process::ExitCode;

fn main() -> ExitCode {
    let broken = [failures::measure(), slopes::measure(), throughput::measure()];
    let broken: Vec<String> = broken.into_iter().flatten().collect();
    for what in &broken {
        eprintln!("broken: {what}");
    }
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
