//! What lives as long as one version of the configuration.

mod page;
mod pipeline;
mod row;
mod workspace;

pub use page::*;
pub use pipeline::*;
pub use row::*;
pub use workspace::*;
