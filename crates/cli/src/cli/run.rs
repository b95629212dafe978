//! Starts what the arguments ask for.

use crate::cli::{Exit, command};
use crate::explain;
use crate::operate::{self, OperatorCx};
use crate::trial;
use clap::ArgMatches;
use clap_complete::{Shell, generate};
use sorrellock_daemon::cli::{check_variables, command as daemon_command, variable_names};
use std::io::{Write, stdout};
use std::process::ExitCode;

/// Runs `sorrellock`.
pub fn run() -> ExitCode {
    let known = command().subcommand(daemon_command());
    if let Err(err) = check_variables(&known, variable_names()) {
        eprintln!("sorrellock: {err}");
        return Exit::Refused.into();
    }
    let matches = command().get_matches();
    let (name, args) = matches.subcommand().expect("a subcommand is required");
    match name {
        "try" => run_trial(),
        "completions" => print_completions(args),
        "explain" => run_explain(args),
        _ => run_operation(name, args),
    }
    .into()
}

fn run_trial() -> Exit {
    match trial::run() {
        Ok(()) => Exit::Done,
        Err(err) => {
            eprintln!("sorrellock: {err:#}");
            Exit::Failed
        }
    }
}

fn run_explain(args: &ArgMatches) -> Exit {
    match explain::run(args) {
        Ok(()) => Exit::Done,
        Err(err) => {
            eprintln!("sorrellock: {err}");
            Exit::Refused
        }
    }
}

fn run_operation(name: &str, args: &ArgMatches) -> Exit {
    let (sub, nested) = args.subcommand().unwrap_or(("", args));
    let cx = OperatorCx::new(nested);
    match operate::run(&cx, name, sub, nested) {
        Ok(exit) => exit,
        Err(err) => {
            eprintln!("sorrellock: {err}");
            err.exit()
        }
    }
}

fn print_completions(args: &ArgMatches) -> Exit {
    let shell = args.get_one::<Shell>("shell").expect("the shell is required");
    let mut buf = Vec::new();
    generate(*shell, &mut command(), "sorrellock", &mut buf);
    // A reader that has gone has read what it wanted.
    let _ = stdout().write_all(&buf);
    Exit::Done
}
