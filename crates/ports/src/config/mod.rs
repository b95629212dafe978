//! The operators' side of the configuration: reading it, and changing it by conditional writes.
//!
//! [`ConfigStore`] is all that the command line needs. A change is checked whole before anything
//! is written. Each page that it touches is then written by one conditional put that carries the
//! change's id: a change of several pages is **not** one transaction, so the [`ChangeReport`]
//! tells for each page whether it took effect.

mod change_report;
mod config_error;
mod config_reader;
mod config_store;
mod edit;
mod page_writer;
mod row_edit;

pub use change_report::*;
pub use config_error::*;
pub use config_store::*;
pub use row_edit::*;

pub(crate) use config_reader::*;
pub(crate) use edit::*;
pub(crate) use page_writer::*;
