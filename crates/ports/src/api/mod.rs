//! What the system asks of its surroundings.

mod engine;
mod instance_list;
mod object_store;
mod service;

pub use engine::*;
pub use instance_list::*;
pub use object_store::*;
pub use service::*;
