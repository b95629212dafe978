//! Messages between gateways, and the state of the fleet that is derived from them.

mod catch_up;
mod first_gateways;
mod fleet_state;
mod news;
mod peer_message;
#[allow(clippy::module_inception)]
mod peers;
mod recent_updates;
mod registration;
mod relay_part;
mod roles;
mod sending;
mod suspicion;
mod view_exchange;

pub(crate) use catch_up::{DIGEST_QUERY, HANDOVER_PATH};
pub(crate) use fleet_state::*;
pub(crate) use peer_message::*;
pub(crate) use peers::Peers;
pub(crate) use view_exchange::*;
