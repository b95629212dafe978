//! What lives at a daemon as long as a request.

mod batch;
mod stage_run;

pub use batch::*;
pub use stage_run::*;
