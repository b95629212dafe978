//! Limits over the whole fleet: the keeper of a workspace and kind hands out short grants.
//!
//! An entry spends what it was granted ([`Share`]); the keeper takes each grant out of one bucket
//! ([`Keeper`]). Nothing depends on two processes' clocks, and a message that is lost, late or
//! repeated can only cost the workspace a part of its limit, never add to it.

mod amount;
mod bucket;
mod decayed;
mod division;
mod keeper;
mod limit_table;
mod message;
mod share;

pub use amount::*;
pub use bucket::*;
pub use decayed::*;
pub use division::*;
pub use keeper::*;
pub use limit_table::*;
pub use message::*;
pub use share::*;
