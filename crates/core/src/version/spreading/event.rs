//! Effects and events that a [`Spread`](super::Spread) returns to its caller.

use crate::id::Revision;
use crate::request::Peer;
use crate::version::{ConfigMessage, PageId};

/// Where a page came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The configuration store.
    Store,
    /// Another daemon.
    Peer(Peer),
}

/// An event to be logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigEvent {
    /// A page came into force.
    Applied {
        /// The page.
        page: PageId,
        /// Its revision.
        revision: Revision,
        /// Where it came from.
        source: Source,
    },
    /// A page is invalid: the last valid revision stays in force.
    Refused {
        /// The page.
        page: PageId,
        /// The refused revision.
        revision: Revision,
        /// Where it came from.
        source: Source,
        /// What is wrong with it.
        detail: String,
    },
    /// A page was deleted from the store: the last revision stays in force.
    Deleted {
        /// The page.
        page: PageId,
    },
    /// The store answered from a stale copy; the answer was dropped.
    OldCopy {
        /// The revision of the answer.
        shown: Revision,
        /// The revision that was known before.
        known: Revision,
    },
    /// A peer sent a message with invalid pages or revisions, or too many of them; the message was dropped.
    BadMessage {
        /// The peer.
        peer: Peer,
    },
    /// This daemon starts (`true`) or stops (`false`) watching the store.
    Watching(bool),
    /// Everything that the store and the peers had when this daemon started is in force.
    Ready {
        /// The revision up to which everything is in force.
        applied: Revision,
    },
}

/// An action that the caller of a [`Spread`](super::Spread) has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: ConfigMessage,
    },
    /// Count and log an event.
    Report(ConfigEvent),
}
