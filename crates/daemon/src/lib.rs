//! The daemon of sorrellock: `entry` takes callers' requests, `beside` runs beside endpoints and gives them work.
//!
//! [`cli`] starts both as programs. [`entry::process::Entry`] and [`beside::process::Beside`] start them
//! within another process, as tests and `sorrellock try` do.

pub mod beside;
pub mod cli;
pub mod entry;
pub mod process;

pub use sorrellock_wire::connection::LinkKind;
