//! What lives as long as one connection.

mod activity;
mod callers;
mod connect;
#[allow(clippy::module_inception)]
mod connection;
mod head_budget;
mod watched_stream;

pub use activity::*;
pub use callers::*;
pub use connect::connect;
pub(crate) use connection::*;
pub use head_budget::*;
pub use watched_stream::*;
