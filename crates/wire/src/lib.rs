//! Messages between the processes of sorrellock, and the links that carry them.

pub mod connection;
pub mod message;
