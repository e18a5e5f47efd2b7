//! Timeline of a request: its own log lines and related events.

use std::{collections::BTreeSet, sync::Arc};

use crate::explain::{LogLine, LogTime, RequestOutcome, outcome::event, parse_line};

/// Time before the first and after the last line of a request within which related events are
/// shown, in seconds. Longer than the recovery of an upstream and than one platform watch.
const CONTEXT_WINDOW_S: u32 = 5;
/// Maximum number of related lines that are shown.
const MAX_RELATED_LINES: usize = 40;

/// The log events of several instances.
#[derive(Clone, Debug, Default)]
pub struct LogCollection {
    lines: Vec<LogLine>,
    /// Number of lines that are not numbered events.
    pub skipped: usize,
}

impl LogCollection {
    /// Adds the log of one instance.
    pub fn add_log(&mut self, instance: &str, text: &str) {
        let instance: Arc<str> = Arc::from(instance);
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(&instance, line) {
                Some(line) => self.lines.push(line),
                None => self.skipped += 1,
            }
        }
    }

    /// Returns the timeline of a request.
    #[must_use]
    pub fn explain(&self, id: &str) -> RequestTimeline {
        let has_id = |line: &&LogLine| line.field("id") == Some(id);
        let mut own: Vec<&LogLine> = self.lines.iter().filter(has_id).collect();
        // The sort must be stable, to keep the order of an instance's lines within a second.
        own.sort_by_key(|line| line.time);
        RequestTimeline {
            outcome: RequestOutcome::from_lines(&own),
            related: self.find_related(&own),
            lines: own.into_iter().cloned().collect(),
        }
    }

    /// Returns events that may explain the outcome of a request: failures of its upstreams as seen
    /// by any instance, lost dependencies, starts and drains of its own instance, and the blocking of
    /// its content at any time.
    fn find_related(&self, own: &[&LogLine]) -> Vec<LogLine> {
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return Vec::new();
        };
        let from = first.time.0.saturating_sub(CONTEXT_WINDOW_S);
        let to = last.time.0.saturating_add(CONTEXT_WINDOW_S);
        let window = LogTime(from)..=LogTime(to);
        let upstreams: BTreeSet<&str> = own.iter().filter_map(|l| l.field("upstream")).collect();
        let instances: BTreeSet<&str> = own.iter().map(|line| &*line.instance).collect();
        let content: BTreeSet<&str> = own.iter().filter_map(|l| l.field("content")).collect();
        let balance_insufficient = own
            .iter()
            .any(|line| line.event == event::BALANCE_INSUFFICIENT);
        let is_related = |line: &&LogLine| match line.event {
            event::ATTEMPT_FAILED | event::UPSTREAM_CHANGED | event::UPSTREAM_CRASHED => line
                .field("upstream")
                .is_some_and(|name| upstreams.contains(name)),
            // Any instance may hold tokens of the budget. If the balance was insufficient, lost
            // dependencies and starts of all instances are related.
            event::DEPENDENCY_LOST | event::DEPENDENCY_RESTORED | event::GATEWAY_STARTED => {
                balance_insufficient || instances.contains(&*line.instance)
            }
            event::CONTENT_BLOCKED | event::CONTENT_UNBLOCKED => line
                .field("content")
                .is_some_and(|key| content.contains(key)),
            event::DRAIN_STARTED => instances.contains(&*line.instance),
            _ => false,
        };
        let own_id = first.field("id");
        let mut related: Vec<LogLine> = self
            .lines
            .iter()
            .filter(|line| window.contains(&line.time) || is_lasting(line))
            .filter(|line| line.field("id").is_none() || line.field("id") != own_id)
            .filter(is_related)
            .cloned()
            .collect();
        related.sort_by_key(|line| line.time);
        related.truncate(MAX_RELATED_LINES);
        related
    }
}

/// Returns whether an event concerns requests long after it.
fn is_lasting(line: &LogLine) -> bool {
    matches!(
        line.event,
        event::CONTENT_BLOCKED | event::CONTENT_UNBLOCKED
    )
}

/// The log lines of one request, its outcome and related events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTimeline {
    /// The outcome of the request.
    pub outcome: RequestOutcome,
    /// The lines of the request, in order of time.
    pub lines: Vec<LogLine>,
    /// Other events around the same time that may explain the outcome.
    pub related: Vec<LogLine>,
}

impl RequestTimeline {
    /// Formats the timeline as human-readable text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = format!("{}\n", self.outcome);
        push_section(&mut text, "lines of the request", &self.lines);
        push_section(&mut text, "related events", &self.related);
        text
    }
}

fn push_section(text: &mut String, title: &str, lines: &[LogLine]) {
    if lines.is_empty() {
        return;
    }
    text.push_str(&format!("\n{title}:\n"));
    for line in lines {
        let LogTime(time) = line.time;
        let (hours, minutes, seconds) = (time / 3_600, time / 60 % 60, time % 60);
        text.push_str(&format!(
            "  {hours:02}:{minutes:02}:{seconds:02} {} {}\n",
            line.instance, line.text
        ));
    }
}
