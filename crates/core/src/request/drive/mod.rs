//! The entry's side of pipeline requests: drives them, detects stalls and repairs routes.

mod driver;
mod repair;
mod stall;

pub use driver::*;
pub use repair::*;
pub use stall::*;
