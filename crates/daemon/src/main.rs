//! `sorrellockd`: the daemon of sorrellock.

use std::process::ExitCode;

fn main() -> ExitCode {
    sorrellock_daemon::cli::run()
}
