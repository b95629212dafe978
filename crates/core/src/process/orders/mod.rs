//! Orders to engines: lead election, fencing, and planning of what to order.
//!
//! One lead per model sends orders. The lead is recorded in an object in the platform's store, and
//! the version at which it was written is the fencing number of its orders. A lead that resumes
//! after a pause may send orders with an old number; the daemon beside the engine refuses them.

mod demand;
mod engine_slot;
mod fence_guard;
mod lead_election;
mod order_book;
mod plan_state;
mod planner;
mod service_levels;

pub use demand::*;
pub use engine_slot::*;
pub use fence_guard::*;
pub use lead_election::*;
pub use order_book::*;
pub use planner::*;
pub use service_levels::*;
