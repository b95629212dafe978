//! The stand-in for the platform: object API and list of instances.

mod calls;
mod fake_platform;
mod instances;
mod knobs;
mod outage;
mod platform_config;
mod platform_counters;
mod platform_state;
mod rate_limit;
mod store;
mod watches;

pub use fake_platform::*;
pub(crate) use instances::*;
pub(crate) use knobs::*;
pub use outage::*;
pub use platform_config::*;
pub use platform_counters::*;
pub(crate) use platform_state::*;
pub(crate) use rate_limit::*;
pub(crate) use store::*;
pub(crate) use watches::*;
