//! Which engine holds which layers.
//!
//! Each data centre gets chains of engines that hold the model once each: as many as its memory
//! allows with room for the requests that their first engines take, at least one.

mod chain_plan;
mod chains;
mod planner;
mod transition;

pub use chain_plan::*;
pub use chains::*;
pub use planner::*;
pub use transition::*;
