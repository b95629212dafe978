//! What lives as long as a process.

mod endpoint;

pub use endpoint::*;
