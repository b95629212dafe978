//! What a [`Spread`](super::Spread) asks its surroundings to do, and tells them.

use crate::id::Revision;
use crate::request::Peer;
use crate::version::{ConfigMessage, PageId};

/// Where a page came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer(Peer),
}

/// Something that people and counters are told.
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
    /// A page is bad: the last good one stays in force.
    Refused {
        /// The page.
        page: PageId,
        /// The revision refused.
        revision: Revision,
        /// Where it came from.
        source: Source,
        /// What is wrong with it.
        detail: String,
    },
    /// A page was deleted from the store: the last one stays in force.
    Deleted {
        /// The page.
        page: PageId,
    },
    /// The store answered from an old copy; the answer was dropped.
    OldCopy {
        /// The revision that it showed.
        shown: Revision,
        /// The revision that was known.
        known: Revision,
    },
    /// A peer named a page or revision that there can't be, or too many; the message was dropped.
    BadMessage {
        /// The peer.
        peer: Peer,
    },
    /// This daemon begins to watch the store, or ceases to.
    Watching(bool),
    /// All is in force that the store and the peers had when this daemon started.
    Ready {
        /// Up to this revision.
        applied: Revision,
    },
}

/// What a [`Spread`](super::Spread) asks its surroundings to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message.
    Send {
        /// To whom.
        to: Peer,
        /// The message.
        message: ConfigMessage,
    },
    /// Count it, and tell people.
    Report(ConfigEvent),
}
