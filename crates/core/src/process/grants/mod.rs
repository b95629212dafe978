//! Fleet-wide rate limits: the keeper of a workspace and kind hands out short-lived grants.
//!
//! An entry spends its grants ([`Share`]); the keeper takes each grant out of one token bucket
//! ([`Keeper`]). Nothing compares the clocks of two processes. A lost, late or repeated message can
//! only cost the workspace a part of its limit, never add to it.

mod amount;
mod bucket;
mod decaying_sum;
mod division;
mod keeper;
mod limit_table;
mod message;
mod share;

pub use amount::*;
pub use bucket::*;
pub use decaying_sum::*;
pub use division::*;
pub use keeper::*;
pub use limit_table::*;
pub use message::*;
pub use share::*;
