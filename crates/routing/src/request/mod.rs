//! What lives as long as a request.

mod evidence;

pub use evidence::*;
