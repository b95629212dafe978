//! The command line of `sorrellockd`: its arguments and their validation. The daemons that it starts are in other
//! modules.

mod args;
mod check;
mod run;
mod signals;
mod validate;
mod variables;

pub use args::command;
pub use run::run;
pub use validate::*;
pub use variables::*;

use args::{gateway_options, parse_beside, parse_entry, settings_file};
use check::describe;
use signals::wait_for_end;
