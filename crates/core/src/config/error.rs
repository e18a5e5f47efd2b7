//! Errors in a configuration document.

use std::fmt;

use serde::Serialize;

/// Describes one fault in a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct DocumentError {
    /// The line in the text, counted from 1; 0 if the fault is not tied to a line.
    pub line: usize,
    /// The section without brackets; empty for a fault outside of any section.
    pub section: String,
    /// The key; empty for a fault of the section as a whole.
    pub key: String,
    /// What is wrong.
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
