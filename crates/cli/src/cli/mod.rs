//! Arguments of `sorrellock`, apart from what they start.

mod args;
mod exit;
mod run;

pub use args::command;
pub use exit::*;
pub use run::run;
