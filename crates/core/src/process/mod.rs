//! State that lives as long as a process.

pub mod admission;
pub mod callers;
mod endpoint;
mod fair_queue;
pub mod grants;
pub mod ledger;
pub mod membership;
pub mod orders;
mod priority_queue;
pub mod retries;
pub mod store_watch;

pub use endpoint::*;
pub use fair_queue::*;
pub use priority_queue::*;
