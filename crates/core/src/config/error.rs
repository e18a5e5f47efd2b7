//! Validation errors of a configuration document.

use std::fmt;

use serde::Serialize;

/// A validation error in a configuration document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct DocumentError {
    /// The line number in the text, starting at 1; 0 if the error is not tied to a line.
    pub line: usize,
    /// The section header without brackets; empty for an error outside of any section.
    pub section: String,
    /// The key; empty for an error that concerns the whole section.
    pub key: String,
    /// The description of the error.
    pub problem: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        if !self.section.is_empty() {
            write!(formatter, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        formatter.write_str(&self.problem)
    }
}

impl std::error::Error for DocumentError {}
