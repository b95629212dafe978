//! What lives as long as a connection to a peer.

mod any_link;
mod closed_links;
mod dial;
mod frame;
mod inbox;
mod link;
mod link_config;
mod link_counters;
mod nng_link;
mod peer_queue;
mod peers;
mod streams;
mod tcp_dial;
mod tcp_link;
mod tcp_receive;
mod transit;
mod writer;

pub use any_link::*;
pub use closed_links::ClosedLinks;
pub use link::*;
pub use link_config::*;
pub use link_counters::*;
pub use nng_link::*;
pub use tcp_link::*;
