//! Follows the platform's store: the configuration, the endpoints, and the age of what is known of them.

mod endpoint_check;
mod endpoint_updates;
mod entries;
mod eras;
mod first_data;
mod handover;
mod incarnations;
mod logged_faults;
mod store_contact;
mod watch_sharing;
mod watcher;

pub(crate) use endpoint_check::*;
pub(crate) use endpoint_updates::expire_entries;
pub(crate) use entries::*;
pub(crate) use eras::follow_eras;
pub(crate) use first_data::*;
pub(crate) use incarnations::*;
pub(crate) use logged_faults::*;
pub(crate) use store_contact::*;
pub(crate) use watcher::follow;
