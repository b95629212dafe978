//! The operators' command line of sorrellock.

pub mod cli;
pub mod explain;
pub mod operate;
pub mod trial;
