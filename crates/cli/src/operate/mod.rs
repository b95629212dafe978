//! What operators do with a running fleet: its configuration, and its state.

mod change;
mod daemons;
mod fleet;
mod operate_error;
mod operator_cx;
mod output;
mod pipeline;
mod table;
mod table_csv;
mod workspace;

pub use operate_error::*;
pub use operator_cx::*;
pub(crate) use output::aligned;
pub use table::parse_edits;
pub use table_csv::{read_csv, write_csv};

use crate::cli::Exit;
use change::finish;
use clap::ArgMatches;
use daemons::{dump, members};
use output::Output;

/// Runs one command on a fleet.
pub fn run(
    cx: &OperatorCx,
    name: &str,
    sub: &str,
    args: &ArgMatches,
) -> Result<Exit, OperateError> {
    match name {
        "table" => table::run(cx, sub, args),
        "workspace" => workspace::run(cx, sub, args),
        "pipeline" => pipeline::run(cx, sub, args),
        "fleet" => fleet::show(cx, args),
        _ => fleet::dump_all(cx),
    }
}
