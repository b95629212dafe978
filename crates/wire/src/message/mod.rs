//! What the processes tell each other.

mod call;
mod config;
mod fleet;
mod grant;
mod ledger;
mod orders;
mod pipeline;

pub use call::*;
pub use config::*;
pub use fleet::*;
pub use grant::*;
pub use ledger::*;
pub use orders::*;
pub use pipeline::*;

use serde::{Deserialize, Serialize};
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::Peer;

/// Number of the message format; an envelope with another one is dropped and counted.
pub const FORMAT: u16 = 1;

/// What one send carries: everything that gathered for a peer while the send before was under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// [`FORMAT`] of the sender.
    pub format: u16,
    /// The sender.
    pub from: Peer,
    /// The incarnation that is meant; 0 means whoever listens there.
    pub to: Incarnation,
    /// The messages, in order.
    pub messages: Vec<Message>,
}

/// A message, by topic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Stages of a pipeline.
    Pipeline(PipelineMessage),
    /// Calls to plain services.
    Call(CallMessage),
    /// Membership.
    Fleet(FleetMessage),
    /// The run-once ledger.
    Ledger(LedgerMessage),
    /// Configuration.
    Config(ConfigMessage),
    /// Limits over the whole fleet.
    Grant(GrantMessage),
    /// Orders to engines.
    Order(OrderMessage),
}
