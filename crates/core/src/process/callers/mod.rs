//! What callers may make a process hold: connections, bytes of bodies, bytes of answers.

mod bounds;
mod caller_table;

pub use bounds::*;
pub use caller_table::*;
