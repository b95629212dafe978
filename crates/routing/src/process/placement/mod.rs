//! Which engine holds which layers.
//!
//! Each data centre gets one chain of engines that together hold the model once: KV cache needs
//! the memory that second copies would take, and a lost range is loaded again in about a second.

mod chain_plan;
mod planner;
mod transition;

pub use chain_plan::*;
pub use planner::*;
pub use transition::*;
