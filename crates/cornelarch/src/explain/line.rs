//! Parsing of one log line.

use std::{collections::BTreeMap, sync::Arc};

/// Longest name of a field; longer words before an equals sign are part of a value.
const MAX_FIELD_NAME_LEN: usize = 24;

/// Represents the time of a log line in seconds of its day, the resolution of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogTime(pub u32);

/// Represents one numbered event of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Instance that wrote the line.
    pub instance: Arc<str>,
    /// Time of the line.
    pub time: LogTime,
    /// Number of the event.
    pub event: u16,
    /// Number, text and fields as written.
    pub text: String,
    /// The fields by name.
    pub fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Returns a field, or nothing if the line lacks it.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Parses a line such as `[2026-03-31T04:30:29Z INFO  cornelarch] E2400 request refused: id=a1`.
/// Anything before the bracket is ignored, because collectors put names and times there.
///
/// Returns `None` if the line is no numbered event.
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

/// Splits `name=value` pairs. A value reaches to the next word that begins with a name and an
/// equals sign, because reasons contain spaces.
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
