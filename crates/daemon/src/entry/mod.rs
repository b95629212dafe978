//! The entry: takes callers' requests and drives each to its one outcome.

pub mod process;
pub mod request;
pub mod version;
