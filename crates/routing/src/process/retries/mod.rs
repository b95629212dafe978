//! The retry budget of a service, which all gateways share.

mod repeat_cause;
mod retry_window;
mod sharers;

pub use repeat_cause::*;
pub use retry_window::*;
pub use sharers::*;
