//! Why the configuration could not be read or changed.

use crate::api::StoreError;
use sorrellock_core::id::Revision;
use sorrellock_core::version::{Change, FieldError, PageId};
use std::fmt;

/// Why the configuration could not be read or changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigError {
    /// A value is refused; nothing was written.
    Field(FieldError),
    /// There is no such item; nothing was written.
    NoSuch {
        /// What it is, such as `workspace treasury`.
        what: String,
    },
    /// There is such an item already; nothing was written.
    Exists {
        /// What it is.
        what: String,
        /// Who made it, or changed it last.
        by: Change,
    },
    /// Another workspace has the same key; nothing was written.
    KeyTaken {
        /// The workspace that has it.
        workspace: String,
    },
    /// Somebody else changed the same item first; nothing was written to its page.
    Clash {
        /// The item, such as `row treasury/default`.
        what: String,
        /// The change that won.
        winner: Change,
    },
    /// The page was changed by others each time this change was to be written; nothing was.
    Busy {
        /// The page.
        page: PageId,
        /// How often it was tried.
        attempts: u32,
    },
    /// The page would be larger than the store takes; nothing was written to it.
    TooLarge {
        /// The page.
        page: PageId,
        /// Its size, in bytes.
        bytes: usize,
    },
    /// The page in the store was written past this tool and can't be read; nothing was written.
    BadPage {
        /// The page.
        page: PageId,
        /// What is wrong with it.
        detail: String,
    },
    /// The store failed, and nothing was written to the page.
    Store {
        /// The page.
        page: String,
        /// How it failed.
        err: StoreError,
    },
    /// A write was sent, its answer was lost, and reading back did not settle it: the change may
    /// be in force, or come into force.
    Unsettled {
        /// The page.
        page: PageId,
        /// The id of the change; the history of the row tells whether it took effect.
        change: u64,
        /// The last failure.
        detail: String,
    },
}

impl ConfigError {
    /// Whether the change may have taken effect in spite of the error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, ConfigError::Unsettled { .. })
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Field(err) => err.fmt(f),
            ConfigError::NoSuch { what } => {
                write!(f, "there is no {what}; look at the name, or add it first")
            }
            ConfigError::Exists { what, by } => {
                write!(f, "{what} exists already, last changed by {}", Who(by))
            }
            ConfigError::KeyTaken { workspace } => {
                write!(f, "workspace {workspace} has this key; give each workspace its own")
            }
            ConfigError::Clash { what, winner } => {
                write!(f, "{what} was changed first by {}; look at it and try again", Who(winner))
            }
            ConfigError::Busy { page, attempts } => {
                write!(
                    f,
                    "page {page} was changed by others at each of {attempts} tries; try again"
                )
            }
            ConfigError::TooLarge { page, bytes } => {
                write!(f, "page {page} would take {bytes} bytes, more than the store holds")
            }
            ConfigError::BadPage { page, detail } => write!(
                f,
                "page {page} was written past this tool and can't be read: {detail}; \
                 put back a good value with the platform's own tool"
            ),
            ConfigError::Store { page, err } => write!(f, "{page}: {err}; nothing was written"),
            ConfigError::Unsettled { page, change, detail } => write!(
                f,
                "page {page}: the answer was lost and could not be settled ({detail}); \
                 change {change:016x} may be in force: look at the history"
            ),
        }
    }
}

impl std::error::Error for ConfigError {}

impl From<FieldError> for ConfigError {
    fn from(err: FieldError) -> Self {
        ConfigError::Field(err)
    }
}

/// Names the author of a change.
struct Who<'a>(&'a Change);

impl fmt::Display for Who<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change { id, by, at_ms, revision } = self.0;
        write!(f, "{by} (change {id:016x}, revision {revision}, at {at_ms} ms since 1970)")
    }
}

/// What one page was found to be.
pub(crate) type Found<T> = Result<T, ConfigError>;

/// The revision of an object that does not exist.
pub(crate) const ABSENT: Revision = 0;
