//! The command line of `sorrellockd`: arguments here, what they start elsewhere.

mod args;
mod run;
mod signals;

pub use run::run;

use args::{command, parse_beside, parse_entry};
use signals::wait_for_end;
