//! The configuration: its pages and items, the view of the version in force, and how versions spread between daemons.

mod check;
mod column;
mod config_view;
mod in_force;
mod item;
mod key_index;
mod page;
mod page_body;
mod page_error;
mod pipeline;
mod row;
mod row_table;
mod spreading;
mod workspace;

pub use check::{FieldError, MAX_NAME_BYTES};
pub use column::*;
pub use config_view::*;
pub use in_force::*;
pub use item::*;
pub use page::*;
pub use page_body::*;
pub use page_error::*;
pub use pipeline::*;
pub use row::*;
pub use spreading::*;
pub use workspace::*;

pub(crate) use page::check_items;
