//! What lives as long as a process.

mod endpoint;
mod entry_fault;
mod incarnation;
pub mod knowledge;
mod lead_term;
mod leaving;
mod lives;
mod loop_pauses;
mod news_source;
mod path_health;
mod peer_silence;
mod pipeline_path;
pub mod placement;
mod repair_forecast;
mod retry_window;
mod revision;
mod start_rule;
mod stream_pace;

pub use endpoint::*;
pub use entry_fault::*;
pub use incarnation::*;
pub use lead_term::*;
pub use leaving::*;
pub use lives::*;
pub use loop_pauses::*;
pub use news_source::*;
pub use path_health::*;
pub use peer_silence::*;
pub use pipeline_path::*;
pub use repair_forecast::*;
pub use retry_window::*;
pub use revision::*;
pub use start_rule::*;
pub use stream_pace::*;
