//! Starts what the arguments ask for.

use crate::cli::command;
use crate::trial;
use std::process::ExitCode;

/// Runs `sorrellock`.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let result = match matches.subcommand_name() {
        Some("try") => trial::run(),
        _ => return ExitCode::FAILURE,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("sorrellock: {err:#}");
            ExitCode::FAILURE
        }
    }
}
