//! Arguments of `sorrellock`, apart from what they start.

mod args;
mod run;

pub use run::run;

use args::command;
