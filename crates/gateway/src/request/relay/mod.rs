//! Relays a stream of events from its engines to its caller.

mod failover;
#[allow(clippy::module_inception)]
mod relay;
mod repath;
mod stream_timing;

pub(crate) use relay::{CALLER_PAUSE_LIMIT, Relay, STREAM_SILENCE_LIMIT};
