//! A whole fleet of sorrellock in one process, on stand-ins: for `sorrellock try`, tests and
//! measurements.

mod addrs;
mod caller;
mod config_writer;
mod limit_sim;
mod local_config;
mod local_fleet;
mod replace;

pub use addrs::*;
pub use caller::*;
pub use config_writer::*;
pub use limit_sim::*;
pub use local_config::*;
pub use local_fleet::*;
