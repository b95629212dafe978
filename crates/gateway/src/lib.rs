//! The gateway: accepts callers' requests and routes each one to a path of engines or to an endpoint of a
//! plain service.
//!
//! Everything runs on one thread: a process gets a fifth of a core, so more threads would only compete for
//! it. Modules are grouped by the lifetime of their state: [`request`], [`connection`] and [`process`].

mod connection;
mod process;
mod request;

pub use process::{LOG_BUFFER_BYTES, Options, StartError, check, run, run_with_log_set_up};
