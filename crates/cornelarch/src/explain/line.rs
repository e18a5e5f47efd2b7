//! Parser for log lines.

use std::{collections::BTreeMap, sync::Arc};

/// Maximum length of a field name. A longer word before an equals sign is part of a value.
const MAX_FIELD_NAME_LEN: usize = 24;

/// Time of a log line, in seconds since midnight. The log has a resolution of one second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogTime(pub u32);

/// One numbered event of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Instance that wrote the line.
    pub instance: Arc<str>,
    /// Time of the line.
    pub time: LogTime,
    /// Number of the event.
    pub event: u16,
    /// Event number, text and fields as written.
    pub text: String,
    /// The fields by name.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns the value of a field, or `None` if the line does not have it.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Parses a line such as `[2026-03-31T04:30:29Z INFO  cornelarch] E2400 request refused: id=a1`.
/// Text before the bracket is ignored, because log collectors prepend names and timestamps.
///
/// Returns `None` if the line is not a numbered event.
#[must_use]
pub fn parse_line(instance: &Arc<str>, line: &str) -> Option<LogLine> {
    let (_, rest) = line.split_once('[')?;
    let (head, text) = rest.split_once("] E")?;
    let (number, details) = text.split_once(' ')?;
    let details = details.split_once(": ").map_or("", |(_, details)| details);
    Some(LogLine {
        instance: Arc::clone(instance),
        time: parse_time(head)?,
        event: number.parse().ok()?,
        text: format!("E{}", text.trim_end()),
        fields: parse_fields(details),
    })
}

fn parse_time(head: &str) -> Option<LogTime> {
    let (_, clock) = head.split_whitespace().next()?.split_once('T')?;
    let mut parts = clock.trim_end_matches('Z').splitn(3, ':');
    let mut next = || parts.next()?.split('.').next()?.parse::<u32>().ok();
    let (hours, minutes, seconds) = (next()?, next()?, next()?);
    let is_valid = hours < 24 && minutes < 60 && seconds <= 60;
    is_valid.then_some(LogTime(hours * 3_600 + minutes * 60 + seconds))
}

/// Parses `name=value` pairs. A value extends to the next word that starts with a name and an
/// equals sign, because some values, such as reasons, contain spaces.
fn parse_fields(details: &str) -> BTreeMap<String, String> {
    let mut fields: BTreeMap<String, String> = BTreeMap::new();
    let mut current: Option<String> = None;
    for word in details.split_whitespace() {
        match word.split_once('=').filter(|(name, _)| is_field_name(name)) {
            Some((name, value)) => {
                fields.insert(name.to_owned(), value.to_owned());
                current = Some(name.to_owned());
            }
            None => {
                if let Some(value) = current.as_ref().and_then(|name| fields.get_mut(name)) {
                    value.push(' ');
                    value.push_str(word);
                }
            }
        }
    }
    fields
}

fn is_field_name(name: &str) -> bool {
    let is_letter = |letter: char| letter.is_ascii_lowercase() || letter == '_';
    !name.is_empty() && name.len() <= MAX_FIELD_NAME_LEN && name.chars().all(is_letter)
}
