//! The daemon beside endpoints: the only process that gives them work.

pub mod process;
pub mod request;
