//! Command output as text and JSON.

use cornelarch_core::config::{Document, SectionChange};
use serde_json::Value;

/// The output of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandReport {
    /// The human-readable text.
    pub text: String,
    /// The value printed with `--json`.
    pub json: Value,
}

impl CommandReport {
    /// Creates a report.
    #[must_use]
    pub fn new(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
        }
    }
}

/// Formats changes as diff lines, with a `+` or `-` sign, grouped by section.
pub(crate) fn describe_changes(old: Option<&Document>, changes: &[SectionChange]) -> Vec<String> {
    let mut lines = Vec::new();
    for change in changes {
        let section = &change.section;
        let old_body = old.and_then(|document| document.body(section));
        let sign = match (&old_body, &change.body) {
            (None, _) => '+',
            (Some(_), None) => '-',
            (Some(_), Some(_)) => ' ',
        };
        lines.push(format!("{sign} [{section}]"));
        let old_body = old_body.unwrap_or_default();
        let new_body = change.body.clone().unwrap_or_default();
        let removed = old_body
            .lines()
            .filter(|line| !new_body.lines().any(|new| new == *line));
        lines.extend(removed.map(|line| format!("-   {line}")));
        let added = new_body
            .lines()
            .filter(|line| !old_body.lines().any(|old| old == *line));
        lines.extend(added.map(|line| format!("+   {line}")));
    }
    lines
}
