//! What lives as long as the daemon beside endpoints.

mod beside;
mod beside_handler;
mod engine_batches;
mod engine_calls;
mod engine_runner;
mod outbox;
mod service_runner;
mod settings;
mod starts;

pub use beside::*;
pub use settings::*;

use beside_handler::BesideHandler;
use engine_runner::EngineRunner;
use outbox::Outbox;
use service_runner::ServiceRunner;
use starts::Starts;
