//! Admission control at an entry: decides which requests start, wait or are refused at once.

mod admission_queue;
mod capacity_queue;
mod drain_rate;
mod mean;
mod promises;
mod queue_bounds;
mod rank_shares;
mod ranked_queue;
mod start_rate;
mod window;

pub use admission_queue::*;
pub use capacity_queue::*;
pub use drain_rate::*;
pub use mean::*;
pub use promises::*;
pub use queue_bounds::*;
pub use rank_shares::*;
pub use ranked_queue::*;
pub use start_rate::*;
pub use window::*;
