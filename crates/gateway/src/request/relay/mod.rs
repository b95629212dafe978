//! Relays a stream of events from its engines to its caller.

mod failover;
#[allow(clippy::module_inception)]
mod relay;
mod repath;
mod stream_timing;

pub(crate) use relay::Relay;
