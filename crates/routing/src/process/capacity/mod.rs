//! Scarce capacity that one gateway gives out for all.

mod alone_part;
mod capacity_keeper;
mod capacity_term;
mod pending_grants;
mod unseen_takes;
mod usable_share;

pub use alone_part::*;
pub use capacity_keeper::*;
pub use capacity_term::*;
pub use pending_grants::*;
pub use unseen_takes::*;
pub use usable_share::*;
