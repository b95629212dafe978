//! What lives as long as one connection.

mod activity;
#[allow(clippy::module_inception)]
mod connection;
mod watched_io;

pub use activity::*;
pub(crate) use connection::*;
pub use watched_io::*;
