//! Process-wide state of the daemon that runs next to endpoints.

mod beside;
mod beside_handler;
mod call_queue;
mod engine_batches;
mod engine_calls;
mod engine_runner;
mod fence_table;
mod order_desk;
mod outbox;
mod role_change;
mod service_runner;
mod settings;
mod starts;

pub use beside::*;
pub use settings::*;

use beside_handler::BesideHandler;
use call_queue::CallQueue;
use engine_runner::EngineRunner;
use order_desk::OrderDesk;
use outbox::Outbox;
use service_runner::ServiceRunner;
use starts::StartRegistry;
