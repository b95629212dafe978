//! What lives as long as a request.

mod event_parser;
mod evidence;
mod run_fault;

pub use event_parser::*;
pub use evidence::*;
pub use run_fault::*;
