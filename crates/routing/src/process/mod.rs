//! What lives as long as a process.

mod endpoint;
mod leaving;
mod pipeline_path;
pub mod placement;
mod retry_window;

pub use endpoint::*;
pub use leaving::*;
pub use pipeline_path::*;
pub use retry_window::*;
