//! What lives as long as a request.

mod event_parser;
mod evidence;
mod hedging;

pub use event_parser::*;
pub use evidence::*;
pub use hedging::*;
