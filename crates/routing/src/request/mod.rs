//! State that lives as long as a request.

mod answer_check;
mod content_id;
mod event_parser;
mod evidence;
mod failover;
mod hedging;
mod run_fault;

pub use answer_check::*;
pub use content_id::*;
pub use event_parser::*;
pub use evidence::*;
pub use failover::*;
pub use hedging::*;
pub use run_fault::*;
