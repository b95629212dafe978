//! The entry: accepts callers' requests and drives each to exactly one outcome.

pub mod process;
pub mod request;
pub mod version;
