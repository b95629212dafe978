//! The holder of a shard: groups claims, and commits each group with one conditional put.

mod commit;
mod config;
#[allow(clippy::module_inception)]
mod holder;
mod load;
mod settle;
mod store_call;
mod upkeep;

pub use config::*;
pub use holder::*;
pub use store_call::*;

use commit::Prepared;
use load::Loading;
use settle::Waiting;
use upkeep::Upkeep;
