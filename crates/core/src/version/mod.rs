//! What lives as long as one version of the configuration.

mod check;
mod column;
mod item;
mod page;
mod page_error;
mod pipeline;
mod row;
mod workspace;

pub use check::{FieldError, MAX_NAME_BYTES};
pub use column::*;
pub use item::*;
pub use page::*;
pub use page_error::*;
pub use pipeline::*;
pub use row::*;
pub use workspace::*;
