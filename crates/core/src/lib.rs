//! The decision logic of sorrellock: pure state machines without sockets or threads.
//!
//! Everything here is generic over a [`Clock`](clock::Clock) and takes its
//! inputs as values, so that a test can drive it step by step. Modules are grouped
//! by the lifetime of their state: [`request`], [`version`] (of the configuration)
//! and [`process`].

pub mod clock;
pub mod id;
pub mod process;
pub mod request;
pub mod version;
