//! What lives as long as one connection of a caller.

mod caller_connection;

pub(crate) use caller_connection::*;
