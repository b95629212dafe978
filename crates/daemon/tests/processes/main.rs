//! The daemons as real processes: streams, shutdown, signals, settings.

mod daemon_process;
mod membership;
mod operators;
mod process_fleet;
mod run_once;
mod settings;
mod signals;
mod streams;
mod watchers;
