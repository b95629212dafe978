//! The parts that every daemon has for the lifetime of its process.

mod config_agent;
mod counters;
mod daemon_parts;
mod dump;
mod fleet_agent;
mod fleet_list;
mod incarnation;
mod journal;
pub mod leads;
pub mod ledger;
mod log;
mod metrics;
mod operators;

pub use config_agent::*;
pub use counters::*;
pub(crate) use daemon_parts::DaemonParts;
pub use dump::*;
pub use fleet_agent::*;
pub use fleet_list::*;
pub use incarnation::*;
pub use journal::{JOURNAL_LENGTH, Journal};
pub use log::*;
pub use metrics::*;
pub use operators::*;
