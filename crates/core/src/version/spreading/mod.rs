//! How configuration reaches every daemon: a few watch the store, the rest learn from peers.
//!
//! [`Spread`] is the state machine of one daemon. It is driven by a clock, by messages from peers
//! and by the answers of the store, and it never blocks.

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
