//! Reasons for which a page of the configuration is rejected.

use crate::id::Revision;
use crate::version::PageId;
use std::fmt;

/// Why a page is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// The same or a higher revision is in force already.
    NotNewer {
        /// The revision in force.
        in_force: Revision,
    },
    /// The page can't be parsed or contains invalid items; the revision in force stays.
    Malformed {
        /// The page's key and the cause.
        detail: String,
    },
}

impl PageError {
    /// Returns a [`PageError::Malformed`] for a page and its cause.
    pub fn malformed(page: PageId, cause: impl fmt::Display) -> PageError {
        PageError::Malformed { detail: format!("{page}: {cause}") }
    }
}

impl fmt::Display for PageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PageError::NotNewer { in_force } => write!(f, "revision {in_force} is in force"),
            PageError::Malformed { detail } => write!(f, "the page is malformed: {detail}"),
        }
    }
}

impl std::error::Error for PageError {}
