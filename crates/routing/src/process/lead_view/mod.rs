//! The lead's view of the engines, and how it reaches the other gateways.
//!
//! Messages carry the latest changes of the view. A gateway that missed some reads a whole view from any other that has it.

mod engine_view;
mod engine_views;
mod view_log;
mod view_sync;

pub use engine_view::*;
pub use engine_views::*;
pub use view_log::*;
pub use view_sync::*;
