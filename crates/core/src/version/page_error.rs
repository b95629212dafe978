//! Why a page of the configuration is not taken.

use crate::id::Revision;
use crate::version::PageId;
use std::fmt;

/// Why a page is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageError {
    /// A higher or the same revision is in force.
    NotNewer {
        /// The revision in force.
        in_force: Revision,
    },
    /// It can't be read, or holds what is refused; what was in force stays.
    Malformed {
        /// Key and cause.
        detail: String,
    },
}

impl PageError {
    /// A page that can't be taken, and why.
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
