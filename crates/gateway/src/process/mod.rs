//! What lives as long as a process.

mod beliefs;
mod counters;
mod gateway;
mod knowledge;
mod lead;
mod listeners;
mod live_path;
mod lives;
mod log;
mod path_book;
mod path_check;
mod path_place;
mod path_refresh;
mod peer_message;
mod peers;
mod placer;
mod pool;
mod run;
mod watchers;

pub(crate) use beliefs::*;
pub(crate) use counters::*;
pub(crate) use gateway::*;
pub(crate) use knowledge::*;
pub(crate) use listeners::*;
pub(crate) use live_path::*;
pub(crate) use lives::*;
pub use log::*;
pub(crate) use path_book::*;
pub(crate) use path_check::*;
pub(crate) use path_place::*;
pub(crate) use peer_message::*;
pub(crate) use pool::*;
pub use run::*;
