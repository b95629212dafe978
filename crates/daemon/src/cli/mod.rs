//! The command line of `sorrellockd`: arguments here, what they start elsewhere.

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

use args::{parse_beside, parse_entry, settings_file};
use check::describe;
use signals::wait_for_end;
