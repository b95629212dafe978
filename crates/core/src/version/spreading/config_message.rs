//! Messages between daemons about the configuration.

use crate::id::Revision;
use crate::version::{PageCopy, PageId};
use serde::{Deserialize, Serialize};

/// Maximum number of pages in one [`ConfigMessage::Fetch`].
pub const MAX_FETCH: usize = 64;
/// Size in bytes beyond which no further page is added to a [`ConfigMessage::Pages`]. A message carries at least one
/// page and pages are never split; as a page takes less than [`MAX_PAGE_BYTES`](crate::version::MAX_PAGE_BYTES), the
/// size of a message is bounded.
pub const PAGES_BYTES: usize = 256 << 10;

/// A page and a revision of it.
pub type PageAt = (PageId, Revision);

/// A message between daemons about the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigMessage {
    /// The sender has everything in force that was written up to `applied`. A receiver that has more answers with a
    /// digest, one that has less with its own summary, and one that has the same only if `wants_reply` is set.
    Summary {
        /// The revision up to which everything is in force at the sender.
        applied: Revision,
        /// Whether the receiver must answer in any case.
        wants_reply: bool,
    },
    /// The pages that the sender has in force above revision `since`. A receiver that has everything written up to
    /// `since` and applies these pages has everything up to `upto`.
    Digest {
        /// The revision that the receiver must have to reach `upto`.
        since: Revision,
        /// The revision up to which everything is in force at the sender.
        upto: Revision,
        /// The pages whose revision in force is above `since`.
        pages: Vec<PageAt>,
        /// Pages that were refused as invalid, so that the last valid revision is in force; for reports to operators.
        refused: Vec<PageAt>,
    },
    /// Requests pages at these revisions or later ones.
    Fetch {
        /// The pages, at most [`MAX_FETCH`].
        pages: Vec<PageAt>,
    },
    /// The requested pages, or the first of them; the receiver has to request the rest again.
    Pages {
        /// The pages.
        copies: Vec<PageCopy>,
    },
}
