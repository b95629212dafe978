//! Finds requests that crash the endpoints that run them, and holds them back at all gateways.

mod crash_exchange;
mod crash_guard;
mod crash_suspects;
mod held_request;
mod held_requests;
mod held_sync;
mod run_registry;
mod run_request;
mod sound_runs;

pub use crash_exchange::*;
pub use crash_guard::*;
pub use crash_suspects::{SuspectRecord, Turn};
pub use held_request::*;
pub use held_requests::*;
pub use held_sync::*;
pub use run_registry::{RunEnd, RunId};
pub use run_request::*;
