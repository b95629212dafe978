//! Paths over engines: their selection, load and health.

mod live_path;
mod path_book;
mod path_check;
mod path_place;
mod path_refresh;

pub(crate) use live_path::*;
pub(crate) use path_book::*;
pub(crate) use path_check::*;
pub(crate) use path_place::*;
