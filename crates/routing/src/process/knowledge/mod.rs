//! What a process knows of the configuration and of the endpoints, and what it hands on.

mod handover;
#[allow(clippy::module_inception)]
mod knowledge;
mod known_endpoint;
mod left_endpoints;
mod refused_entries;

pub use handover::*;
pub use knowledge::*;
pub use known_endpoint::*;
pub use refused_entries::*;
