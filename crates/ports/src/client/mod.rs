//! HTTP clients of the traits in [`api`](crate::api).
//!
//! They keep connections open between calls, give each call a deadline, and never repeat a call
//! by themselves. Their errors tell a call that was never sent from one that was sent and got no
//! answer.

pub mod format;
mod http_agent;
mod http_engine;
mod http_instance_list;
mod http_object_store;
mod http_service;
mod never_sent;

pub(crate) use http_agent::*;
pub use http_engine::*;
pub use http_instance_list::*;
pub use http_object_store::*;
pub use http_service::*;
pub(crate) use never_sent::*;

/// Time that a call has where nothing else is said.
pub const DEFAULT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);
/// Idle connections that a client keeps to its peer.
pub const DEFAULT_IDLE_CONNECTIONS: usize = 64;
