//! State and tasks that last as long as the process.

mod capacity;
mod counters;
mod crashes;
mod dump;
mod gateway;
mod lag;
mod limits;
mod listeners;
mod log;
mod notices;
mod options;
mod paths;
mod peers;
mod placer;
mod pool;
mod queries;
mod retry_budgets;
mod run;
mod store;

pub(crate) use capacity::*;
pub(crate) use counters::*;
pub(crate) use crashes::*;
pub(crate) use dump::*;
pub(crate) use gateway::*;
pub(crate) use lag::*;
pub(crate) use limits::*;
pub(crate) use listeners::*;
pub use log::*;
pub(crate) use notices::*;
pub use options::*;
pub(crate) use paths::*;
pub(crate) use peers::*;
pub(crate) use pool::*;
pub(crate) use queries::*;
pub use run::*;
pub(crate) use store::*;
