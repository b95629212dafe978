//! What the platform's store tells: the configuration and the endpoints, and how old that is.

mod endpoint_check;
mod endpoint_news;
mod entries;
mod eras;
mod handed_over;
mod incarnations;
mod logged_faults;
mod store_contact;
mod watch_sharing;
mod watcher;

pub(crate) use endpoint_check::*;
pub(crate) use endpoint_news::expire_entries;
pub(crate) use entries::*;
pub(crate) use eras::follow_eras;
pub(crate) use incarnations::*;
pub(crate) use logged_faults::*;
pub(crate) use store_contact::*;
pub(crate) use watcher::follow;
