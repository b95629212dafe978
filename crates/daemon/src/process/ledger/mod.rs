//! The holders of the run-once ledger's shards: any daemon holds the shards for which it is named.

mod ledger_holders;
mod shard_driver;
mod store_caller;

pub use ledger_holders::*;
pub use shard_driver::AnswerSink;

use shard_driver::ShardDriver;
use store_caller::StoreCaller;
