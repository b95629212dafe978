//! Runs the subcommand that the arguments select.

use crate::beside::process::Beside;
use crate::cli::{
    check_beside, check_entry, check_variables, command, describe, gateway_options, parse_beside,
    parse_entry, settings_file, variable_names, wait_for_end,
};
use crate::entry::process::Entry;
use crate::process::{LogFormat, metrics_page, set_up_log};
use clap::ArgMatches;
use eyre::{Result, bail};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs `sorrellockd`, and returns its exit code.
pub fn run() -> ExitCode {
    let command = command();
    if let Err(err) = check_variables(&command, variable_names()) {
        return refuse("sorrellockd", &err.to_string());
    }
    let matches = command.get_matches();
    let result = match matches.subcommand() {
        Some(("check", nested)) => run_check(nested),
        Some(("metrics", _)) => print_metrics(),
        Some((role, args)) => run_role(role, args),
        None => return ExitCode::FAILURE,
    };
    result.unwrap_or_else(|err| {
        eprintln!("sorrellockd: {err:#}");
        ExitCode::FAILURE
    })
}

fn print_metrics() -> Result<ExitCode> {
    print!("{}", metrics_page());
    Ok(ExitCode::SUCCESS)
}

fn refuse(what: &str, detail: &str) -> ExitCode {
    eprintln!("{what}: {detail}");
    ExitCode::from(EXIT_BAD_SETTINGS)
}

fn run_role(role: &str, args: &ArgMatches) -> Result<ExitCode> {
    if role == "gateway" {
        return Ok(run_gateway(args));
    }
    if let Err(err) = validate(role, args) {
        return Ok(refuse(&format!("sorrellockd {role}"), &err.to_string()));
    }
    set_up_log(log_format(args));
    match role {
        "entry" => run_entry(args),
        "beside" => run_beside(args),
        other => bail!("role `{other}` does not exist"),
    }
}

/// Runs a gateway, which reads and validates its settings itself.
fn run_gateway(args: &ArgMatches) -> ExitCode {
    match sorrellock_gateway::run(&settings_file(args), gateway_options(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => refuse("sorrellockd gateway", &err.to_string()),
    }
}

/// Validates the settings of a role without starting anything.
fn run_check(nested: &ArgMatches) -> Result<ExitCode> {
    let Some((role, args)) = nested.subcommand() else {
        bail!("no role given; use entry, beside or gateway")
    };
    let command = command();
    let of_role = command.find_subcommand(role).expect("each role has a command");
    print!("{}", describe(of_role, args));
    if let Err(err) = validate(role, args) {
        return Ok(refuse("sorrellockd check", &err.to_string()));
    }
    println!("these settings can be used");
    Ok(ExitCode::SUCCESS)
}

fn validate(role: &str, args: &ArgMatches) -> Result<()> {
    match role {
        "entry" => check_entry(&parse_entry(args))?,
        "gateway" => sorrellock_gateway::check(&settings_file(args))?,
        _ => check_beside(&parse_beside(args))?,
    }
    Ok(())
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
    let ms = args.get_one::<usize>("drain-ms").copied().unwrap_or_default();
    Duration::from_millis(ms as u64)
}

fn log_format(args: &ArgMatches) -> LogFormat {
    let text = args.get_one::<String>("log-format").map(String::as_str).unwrap_or("human");
    text.parse().unwrap_or(LogFormat::Human)
}
