//! Why an entry of the list describes no usable endpoint.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Maximum number of characters kept of a value or a name: twice the length of the longest usual ids.
pub const MAX_FOUND_CHARS: usize = 60;
/// Maximum number of characters kept of a sentence that may contain such a value.
pub const MAX_DETAIL_CHARS: usize = 160;

/// Name of a field of an entry, as the list spells it.
pub type FieldName = Cow<'static, str>;

/// Why an entry describes no usable endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryFault {
    /// The entry can't be read at all.
    Unreadable {
        /// Description of the error.
        detail: String,
    },
    /// A field is missing.
    Missing {
        /// The field.
        field: FieldName,
    },
    /// A field has another type, or a value that is not allowed.
    Malformed {
        /// The field.
        field: FieldName,
        /// The value found, truncated.
        found: String,
    },
    /// The entry gives no start of its endpoint, though others do, or this one did before.
    StartUntold,
}

/// Kinds of faults, as counted in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The entry can't be read at all.
    Unreadable,
    /// A field is missing.
    Missing,
    /// A field has another type, or a value that is not allowed.
    Malformed,
    /// The entry gives no start of its endpoint.
    StartUntold,
}

impl EntryFault {
    /// Creates the fault of an entry that can't be read.
    pub fn unreadable(detail: &str) -> EntryFault {
        EntryFault::Unreadable { detail: cut(detail, MAX_DETAIL_CHARS) }
    }

    /// Creates the fault of a missing field.
    pub fn missing(field: &'static str) -> EntryFault {
        EntryFault::Missing { field: field.into() }
    }

    /// Creates the fault of a field that holds `found`.
    pub fn malformed(field: &'static str, found: &str) -> EntryFault {
        EntryFault::Malformed { field: field.into(), found: cut(found, MAX_FOUND_CHARS) }
    }

    /// Returns the kind of the fault.
    pub fn kind(&self) -> FaultKind {
        match self {
            EntryFault::Unreadable { .. } => FaultKind::Unreadable,
            EntryFault::Missing { .. } => FaultKind::Missing,
            EntryFault::Malformed { .. } => FaultKind::Malformed,
            EntryFault::StartUntold => FaultKind::StartUntold,
        }
    }

    /// Returns the faulty field; none if the fault concerns the entry as a whole.
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

/// Truncates text from an untrusted source to `max_chars` characters and escapes all but printable ASCII, so that a
/// terminal shows every character and interprets none.
pub fn cut(text: &str, max_chars: usize) -> String {
    let escape = |c: char| {
        let is_plain = c.is_ascii_graphic() || c == ' ';
        let escaped = if is_plain { None } else { Some(c.escape_default()) };
        is_plain.then_some(c).into_iter().chain(escaped.into_iter().flatten())
    };
    let mut short: String = text.chars().take(max_chars).flat_map(escape).collect();
    if text.chars().nth(max_chars).is_some() {
        short.push_str(&format!("... ({} bytes)", text.len()));
    }
    short
}
