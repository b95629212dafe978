//! Admission at an entry: which request starts, which waits, and which is refused at once.

mod admission_queue;
mod drain_rate;
mod mean;
mod queue_bounds;
mod window;

pub use admission_queue::*;
pub use drain_rate::*;
pub use mean::*;
pub use queue_bounds::*;
pub use window::*;
