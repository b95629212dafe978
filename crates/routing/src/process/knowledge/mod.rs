//! What a process knows about the configuration and the endpoints, and what it sends to others.

mod dropped_services;
mod era;
mod handover;
#[allow(clippy::module_inception)]
mod knowledge;
mod known_endpoint;
mod left_endpoints;
mod missing;
mod recent_changes;
mod refused_entries;
mod starts;

pub use handover::*;
pub use knowledge::*;
pub use known_endpoint::*;
pub use refused_entries::*;
pub use starts::*;
