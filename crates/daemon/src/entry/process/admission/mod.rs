//! Admission at the entry: starts, queues and refuses what callers ask.

mod gate;
mod pool_id;
mod pools;
mod work;

pub use gate::*;
pub use pool_id::*;
pub use work::*;

use pools::Pools;
