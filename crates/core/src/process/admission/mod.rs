//! Admission control at an entry: decides which requests start, wait or are refused at once.

mod admission_queue;
mod drain_rate;
mod mean;
mod queue_bounds;
mod ranked_queue;
mod window;

pub use admission_queue::*;
pub use drain_rate::*;
pub use mean::*;
pub use queue_bounds::*;
pub use ranked_queue::*;
pub use window::*;
