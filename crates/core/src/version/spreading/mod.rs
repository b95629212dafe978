//! Distribution of the configuration: a few daemons watch the store, the others get it from their peers.
//!
//! [`Spread`] is the state machine of one daemon. Its inputs are a clock, messages from peers and answers of the store;
//! it never blocks.

mod claim;
mod config_message;
mod event;
mod fetches;
mod gossip;
mod peers;
mod readiness;
mod settings;
mod spread;
mod store_reader;
mod troubles;

pub use config_message::*;
pub use event::*;
pub use peers::*;
pub use settings::*;
pub use spread::*;
pub use store_reader::*;
pub use troubles::*;

pub(crate) use claim::*;
pub(crate) use fetches::*;
pub(crate) use readiness::*;
