//! The entry's part of pipeline requests: it drives, watches progress and repairs.

mod driver;
mod repair;
mod stall;

pub use driver::*;
pub use repair::*;
pub use stall::*;
