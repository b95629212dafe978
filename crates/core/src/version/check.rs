//! Validation of operators' input. Each error names the field, the value and how to fix it.

use std::fmt;
use std::ops::RangeInclusive;

/// Maximum length of the name of a workspace, kind, pipeline, service or model, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An invalid value of a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The item that the field belongs to, such as `row treasury/default`.
    pub subject: String,
    /// The name of the field in the table.
    pub field: &'static str,
    /// The invalid value.
    pub value: String,
    /// What to enter instead.
    pub fix: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} is `{}`; {}", self.subject, self.field, self.value, self.fix)
    }
}

impl std::error::Error for FieldError {}

/// Creates the error for an invalid value of a field.
pub(crate) fn refuse(
    subject: &str,
    field: &'static str,
    value: impl fmt::Display,
    fix: impl Into<String>,
) -> FieldError {
    FieldError { subject: subject.to_owned(), field, value: value.to_string(), fix: fix.into() }
}

/// Checks that a name can be used in a path, a header and a cell of the table.
pub(crate) fn check_name(subject: &str, field: &'static str, name: &str) -> Result<(), FieldError> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let starts_well = name.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && name.len() <= MAX_NAME_BYTES && name.chars().all(fits) {
        return Ok(());
    }
    let fix = format!(
        "give 1 to {MAX_NAME_BYTES} letters, digits, `.`, `_` or `-`, a letter or digit first"
    );
    Err(refuse(subject, field, name, fix))
}

/// Checks that a value is within a range; NaN is in no range.
pub(crate) fn check_range<T: PartialOrd + fmt::Display + Copy>(
    subject: &str,
    field: &'static str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), FieldError> {
    if range.contains(&value) {
        return Ok(());
    }
    let fix = format!("give {} to {}", range.start(), range.end());
    Err(refuse(subject, field, value, fix))
}
