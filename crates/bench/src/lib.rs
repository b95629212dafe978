//! What the measurements of sorrellock share.

mod figure;
mod latencies;

pub use figure::*;
pub use latencies::*;
