//! Per-request state of a daemon.

mod batch;

pub use batch::*;
