//! What lives as long as the listener.

mod counters;
mod listener;
mod machine;
mod server;
mod server_config;
mod workers;

pub use counters::*;
pub(crate) use listener::Listener;
pub use listener::{listen, listen_for_callers};
pub use machine::machine_limits;
pub use server::*;
pub use server_config::*;
pub(crate) use workers::*;
