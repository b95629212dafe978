//! What lives as long as a process.

mod endpoint;
mod leaving;
mod pipeline_path;
pub mod placement;
mod repair_forecast;
mod retry_window;

pub use endpoint::*;
pub use leaving::*;
pub use pipeline_path::*;
pub use repair_forecast::*;
pub use retry_window::*;
