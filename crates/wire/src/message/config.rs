//! Messages of the configuration; the state machine that speaks them is in the core.

pub use sorrellock_core::version::ConfigMessage;
