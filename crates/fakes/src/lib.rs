//! Small stand-ins for the platform, the engines and plain services.
//!
//! Each speaks the HTTP of [`sorrellock_ports::client`], runs inside a test or as an example of
//! its own, and has knobs for the faults that its original has. They record what they ran, so that
//! a test can compare it with what should have run; [`expected_text`] is the whole model in a few
//! lines.

mod process;
mod request;

pub use process::{
    Applied, EngineConfig, EngineCounters, EngineFailure, FakeEngine, FakePlatform, FakeService,
    Outage, OutageWindow, PlatformConfig, PlatformCounters, Ran, RanCall, Record, ServiceConfig,
    ServiceCounters, ServiceRecord,
};
pub use request::{
    PREFIX_BLOCK, VOCABULARY, apply_layer, embed, expected_text, prefix_hashes, sample, token_text,
};
