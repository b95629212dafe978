//! Starts what the arguments ask for.

use crate::beside::process::Beside;
use crate::cli::{command, parse_beside, parse_entry, wait_for_end};
use crate::entry::process::Entry;
use crate::process::{LogFormat, set_up_log};
use clap::ArgMatches;
use eyre::Result;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// How long a graceful shutdown waits for what runs, unless set.
const DRAIN_MS: usize = 600_000;

/// Runs `sorrellockd`.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else { return ExitCode::FAILURE };
    set_up_log(log_format(args));
    let result = match name {
        "entry" => run_entry(args),
        _ => run_beside(args),
    };
    result.unwrap_or_else(|err| {
        eprintln!("sorrellockd {name}: {err:#}");
        ExitCode::FAILURE
    })
}

fn run_entry(args: &ArgMatches) -> Result<ExitCode> {
    let entry = Arc::new(Entry::start(parse_entry(args))?);
    let (state, wait) = (entry.state(), drain_wait(args));
    Ok(wait_for_end(state, move || entry.drain(wait))?)
}

fn run_beside(args: &ArgMatches) -> Result<ExitCode> {
    let beside = Arc::new(Beside::start(parse_beside(args))?);
    let (state, wait) = (Arc::new(beside.state()), drain_wait(args));
    Ok(wait_for_end(state, move || beside.drain(wait))?)
}

fn drain_wait(args: &ArgMatches) -> Duration {
    let ms = args.get_one::<usize>("drain-ms").copied().unwrap_or(DRAIN_MS);
    Duration::from_millis(ms as u64)
}

fn log_format(args: &ArgMatches) -> LogFormat {
    let text = args.get_one::<String>("log-format").map(String::as_str).unwrap_or("human");
    text.parse().unwrap_or(LogFormat::Human)
}
