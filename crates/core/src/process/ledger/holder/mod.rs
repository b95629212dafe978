//! The holder of a shard: groups claims, and commits each group with one conditional put.

mod claims;
mod commit;
mod config;
#[allow(clippy::module_inception)]
mod holder;
mod load;
mod store_call;
mod upkeep;

pub use config::*;
pub use holder::*;
pub use store_call::*;

use claims::WaitingClaim;
use commit::Prepared;
use load::Loading;
use upkeep::Upkeep;
