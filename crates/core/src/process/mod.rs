//! What lives as long as a process.

mod endpoint;
pub mod membership;

pub use endpoint::*;
