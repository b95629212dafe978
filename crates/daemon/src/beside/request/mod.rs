//! What lives at a daemon as long as a request.

mod batch;

pub use batch::*;
