//! Assignment of model layers to engines.
//!
//! The engines of each data centre form chains that each hold the whole model: at least one, and as many
//! as memory allows with free capacity for the requests that their first engines accept.

mod chain_plan;
mod chains;
mod planner;
mod repairs;
mod transition;

pub use chain_plan::*;
pub use chains::*;
pub use planner::*;
pub use repairs::*;
pub use transition::*;
