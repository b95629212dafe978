//! Requests that crash endpoints: finds them, holds them back, and shares what is known with the other gateways.

mod crash_watch;
mod end_checks;
mod held_exchange;
mod held_store;
mod run_guard;

pub(crate) use crash_watch::*;
pub(crate) use end_checks::EndChecks;
pub(crate) use held_exchange::*;
pub(crate) use held_store::sync_held;
pub(crate) use run_guard::RunGuard;
