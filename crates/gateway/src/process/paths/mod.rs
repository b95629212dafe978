//! Paths over engines: which there are, what runs on them, and whether they serve.

mod live_path;
mod path_book;
mod path_check;
mod path_place;
mod path_refresh;

pub(crate) use live_path::*;
pub(crate) use path_book::*;
pub(crate) use path_check::*;
pub(crate) use path_place::*;
