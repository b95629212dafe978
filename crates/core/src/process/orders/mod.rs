//! Orders to engines: who may give them, which are taken, and what to order.
//!
//! One lead per model gives orders. Who leads is an object in the platform's store; the version
//! at which a lead was written is the fencing number of its orders. A paused lead that wakes
//! gives orders with an old number, and the daemon beside the engine refuses them.

mod board;
mod demand;
mod engine_slot;
mod fence_guard;
mod lead_election;
mod order_book;
mod planner;
mod service_levels;

pub use demand::*;
pub use engine_slot::*;
pub use fence_guard::*;
pub use lead_election::*;
pub use order_book::*;
pub use planner::*;
pub use service_levels::*;
