//! Route selection: chooses an engine for each stage of a pipeline.

mod candidate;
mod choose_route;
mod link_costs;

pub use candidate::*;
pub use choose_route::*;
pub use link_costs::*;
