//! What lives as long as a connection to a peer.

mod link;
mod link_config;
mod link_counters;
mod nng_link;
mod peer_queue;

pub use link::*;
pub use link_config::*;
pub use link_counters::*;
pub use nng_link::*;
