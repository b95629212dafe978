//! Errors of `sorrellock explain`.

use std::fmt;
use std::io;

/// A file can't be read or written.
#[derive(Debug)]
pub struct ExplainError {
    /// What was done with it.
    pub step: &'static str,
    /// The file.
    pub file: String,
    /// The system's error.
    pub source: io::Error,
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "can't {} {}: {}", self.step, self.file, self.source)
    }
}

impl std::error::Error for ExplainError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.source)
    }
}
