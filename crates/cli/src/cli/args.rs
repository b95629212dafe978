//! Arguments of `sorrellock`, each also a `SORRELLOCK_…` variable.

use clap::Command;

/// The whole command.
pub fn command() -> Command {
    Command::new("sorrellock")
        .about("Operates a fleet of sorrellock, a router for pipelines over mixed accelerators")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("try")
                .about("Runs the whole path in one process, on stand-ins, and checks it"),
        )
}
