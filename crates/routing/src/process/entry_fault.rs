//! Why an entry of the list names no endpoint to use.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// The most characters that are kept of a value or a name: an id of the longest usual sort is half as
/// long.
pub const FOUND_MOST: usize = 60;
/// The most characters that are kept of a sentence that may hold such a value.
pub const DETAIL_MOST: usize = 160;

/// A field of an entry, as its list spells it.
pub type FieldName = Cow<'static, str>;

/// Why an entry names no endpoint to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryFault {
    /// It can't be read at all.
    Unreadable {
        /// What is wrong with it.
        detail: String,
    },
    /// A field is missing.
    Missing {
        /// The field.
        field: FieldName,
    },
    /// A field is of another type, or of a value that it can't have.
    Malformed {
        /// The field.
        field: FieldName,
        /// What it holds, cut.
        found: String,
    },
    /// It doesn't tell the start of its endpoint, though others do, or this one did before.
    StartUntold,
}

/// The sorts of faults, to count them by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It can't be read at all.
    Unreadable,
    /// A field is missing.
    Missing,
    /// A field is of another type or value.
    Malformed,
    /// It doesn't tell the start of its endpoint.
    StartUntold,
}

impl EntryFault {
    /// An entry that can't be read.
    pub fn unreadable(detail: &str) -> EntryFault {
        EntryFault::Unreadable { detail: cut(detail, DETAIL_MOST) }
    }

    /// A field that is missing.
    pub fn missing(field: &'static str) -> EntryFault {
        EntryFault::Missing { field: field.into() }
    }

    /// A field that holds `found`.
    pub fn malformed(field: &'static str, found: &str) -> EntryFault {
        EntryFault::Malformed { field: field.into(), found: cut(found, FOUND_MOST) }
    }

    /// Its sort.
    pub fn kind(&self) -> FaultKind {
        match self {
            EntryFault::Unreadable { .. } => FaultKind::Unreadable,
            EntryFault::Missing { .. } => FaultKind::Missing,
            EntryFault::Malformed { .. } => FaultKind::Malformed,
            EntryFault::StartUntold => FaultKind::StartUntold,
        }
    }

    /// The field that it lies in; none where it lies in the entry as a whole.
    pub fn field(&self) -> Option<&str> {
        match self {
            EntryFault::Missing { field } | EntryFault::Malformed { field, .. } => Some(field),
            EntryFault::Unreadable { .. } | EntryFault::StartUntold => None,
        }
    }
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryFault::Unreadable { detail } => write!(f, "it can't be read: {detail}"),
            EntryFault::Missing { field } => write!(f, "`{field}` is missing"),
            EntryFault::Malformed { field, found } => write!(f, "`{field}` is {found}"),
            EntryFault::StartUntold => f.write_str("its start is not told, as it should be here"),
        }
    }
}

impl std::error::Error for EntryFault {}

/// The first `most` characters of a text that somebody else wrote, fit for a log line: without
/// characters that a terminal acts on or shows as nothing.
pub fn cut(text: &str, most: usize) -> String {
    let escape = |c: char| {
        let is_plain = c.is_ascii_graphic() || c == ' ';
        let escaped = if is_plain { None } else { Some(c.escape_default()) };
        is_plain.then_some(c).into_iter().chain(escaped.into_iter().flatten())
    };
    let mut short: String = text.chars().take(most).flat_map(escape).collect();
    if text.chars().nth(most).is_some() {
        short.push_str(&format!("... ({} bytes)", text.len()));
    }
    short
}
