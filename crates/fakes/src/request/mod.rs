//! What lives as long as one request: the checkable model, and its KV cache.

mod model;
mod session;

pub use model::*;
pub(crate) use session::*;
