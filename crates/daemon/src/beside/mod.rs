//! The daemon that runs next to endpoints. No other process sends work to them.

pub mod process;
pub mod request;
