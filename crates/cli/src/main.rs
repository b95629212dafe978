//! `sorrellock`: the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    sorrellock_cli::cli::run()
}
