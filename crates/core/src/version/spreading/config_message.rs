//! What daemons tell each other of the configuration.

use crate::id::Revision;
use crate::version::{PageCopy, PageId};
use serde::{Deserialize, Serialize};

/// The most pages that one [`ConfigMessage::Fetch`] names.
pub const MAX_FETCH: usize = 64;
/// Bytes after which a [`ConfigMessage::Pages`] takes in no further page. It carries at least one,
/// and a page takes less than [`MAX_PAGE_BYTES`](crate::version::MAX_PAGE_BYTES), so that bounds
/// the message; a page is never cut in parts.
pub const PAGES_BYTES: usize = 256 << 10;

/// A page and a revision of it.
pub type PageAt = (PageId, Revision);

/// What daemons tell each other of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// The sender has in force all that was written up to `applied`. Who has more answers with a
    /// digest; who has less, with its own summary; who has the same, only if that is asked for.
    Summary {
        /// See there.
        applied: Revision,
        /// Whether an answer is wanted in any case.
        ask: bool,
    },
    /// What the sender has in force above `since`. Who has all that was written up to `since` and
    /// takes these pages has all up to `upto`.
    Digest {
        /// See there.
        since: Revision,
        /// See there.
        upto: Revision,
        /// The pages whose revision in force is above `since`.
        pages: Vec<PageAt>,
        /// Pages that were refused as bad: the last good one is in force. To be told to people.
        refused: Vec<PageAt>,
    },
    /// Asks for pages, at these revisions or later ones.
    Fetch {
        /// The pages, [`MAX_FETCH`] at most.
        pages: Vec<PageAt>,
    },
    /// Pages that were asked for, or the first of them; the rest is to be asked for again.
    Pages {
        /// The pages.
        copies: Vec<PageCopy>,
    },
}
