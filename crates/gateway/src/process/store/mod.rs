//! What the platform's store tells: the configuration and the endpoints, and how old that is.

mod endpoint_news;
mod entries;
mod handover;
mod knowledge;
mod known_endpoint;
mod lives;
mod refused_entries;
mod store_heard;
mod watcher;

pub(crate) use endpoint_news::expire_entries;
pub(crate) use entries::*;
pub(crate) use handover::*;
pub(crate) use knowledge::*;
pub(crate) use known_endpoint::*;
pub(crate) use lives::*;
pub(crate) use refused_entries::*;
pub(crate) use store_heard::*;
pub(crate) use watcher::follow;
