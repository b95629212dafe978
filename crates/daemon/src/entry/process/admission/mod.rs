//! Admission at the entry: starts, queues or refuses callers' requests.

mod gate;
mod pool_id;
mod pools;
mod work;

pub use gate::*;
pub use pool_id::*;
pub use work::*;

use pools::Pools;
