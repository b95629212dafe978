//! The daemon of sorrellock: `entry` takes callers' requests, `beside` stands next to endpoints.
//!
//! Both are started by [`cli`] as programs, or by [`entry::process::Entry`] and
//! [`beside::process::Beside`] within another process, as tests and `sorrellock try` do.

pub mod beside;
pub mod cli;
pub mod entry;
pub mod process;

pub use sorrellock_wire::connection::LinkKind;
