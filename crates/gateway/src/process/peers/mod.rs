//! Messages between gateways, and the state of the fleet that is derived from them.

mod beliefs;
mod catch_up;
mod peer_message;
#[allow(clippy::module_inception)]
mod peers;
mod recent_news;
mod registration;

pub(crate) use beliefs::*;
pub(crate) use catch_up::HANDOVER_PATH;
pub(crate) use peer_message::*;
pub(crate) use peers::Peers;
