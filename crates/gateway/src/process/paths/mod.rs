//! Paths over engines: their selection, load and health.

mod live_path;
mod path_check;
mod path_choice;
mod path_refresh;
mod path_reservation;
mod path_table;

pub(crate) use live_path::*;
pub(crate) use path_check::*;
pub(crate) use path_choice::*;
pub(crate) use path_refresh::*;
pub(crate) use path_reservation::*;
pub(crate) use path_table::*;
