//! Messages of membership: the state machine defines them, the links carry them.

pub use sorrellock_core::process::membership::FleetMessage;
