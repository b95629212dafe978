//! The stand-in for a model engine.

mod accelerator;
mod cache_log;
mod calls;
mod engine_config;
mod engine_counters;
mod engine_knobs;
mod engine_state;
mod fake_engine;
mod load_log;
mod prefix_cache;
mod record;

pub(crate) use accelerator::*;
pub(crate) use cache_log::*;
pub(crate) use calls::*;
pub use engine_config::*;
pub use engine_counters::*;
pub use engine_knobs::EngineFailure;
pub(crate) use engine_knobs::*;
pub(crate) use engine_state::*;
pub use fake_engine::*;
pub(crate) use load_log::*;
pub(crate) use prefix_cache::*;
pub use record::*;
