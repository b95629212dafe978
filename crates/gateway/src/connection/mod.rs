//! State and tasks of one caller connection.

mod caller_connection;

pub(crate) use caller_connection::*;
