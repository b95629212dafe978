//! The stage's side of pipeline requests: runs each position once, in order.

mod actions;
mod batch_watch;
mod kept;
mod output;
mod run;
mod session;
mod step_times;
mod table;
mod tombstones;

pub use batch_watch::*;
pub use kept::*;
pub use output::*;
pub use run::*;
pub use session::*;
pub use step_times::*;
pub use table::*;
pub use tombstones::*;
