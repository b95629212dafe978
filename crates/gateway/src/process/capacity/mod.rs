//! Scarce capacity of paths, which one gateway per service and data centre gives out for all.

mod ask_capacity;
mod capacity_keeper;
mod grant_limits;
mod messages;

pub(crate) use ask_capacity::*;
pub(crate) use capacity_keeper::*;
pub(crate) use messages::*;
