//! What lives as long as a request.

mod event_parser;
mod evidence;

pub use event_parser::*;
pub use evidence::*;
