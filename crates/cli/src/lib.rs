//! The operators' command line of sorrellock.

pub mod cli;
pub mod operate;
pub mod trial;
