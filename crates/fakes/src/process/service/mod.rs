//! The stand-in for a plain service.

mod fake_service;
mod service_config;
mod service_counters;
mod service_record;
mod service_state;

pub use fake_service::*;
pub use service_config::*;
pub use service_counters::*;
pub use service_record::*;
pub(crate) use service_state::*;
