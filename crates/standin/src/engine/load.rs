//! Load reports, which lag behind the real load.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Shortest time between two recorded reports; bounds the memory of the history.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// Reports the load of an upstream, the body of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that are being worked on.
    pub running: u64,
    /// Requests that wait for a place in the batch.
    pub waiting: u64,
    /// The largest number of requests worked on at once.
    pub batch_limit: u64,
    /// Whether the upstream is leaving and should get no new work.
    pub leaving: bool,
    /// Recent changes of the prefix cache; numbers may be missing.
    pub cache: Vec<CacheEvent>,
}

/// Tells whether a prefix entered or left the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix entered the cache.
    Stored,
    /// The prefix left the cache.
    Evicted,
}

/// Describes one change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event since the engine's start.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The digest of the prefix in hexadecimal digits, private to the engine.
    pub prefix: String,
}

/// Shows each report only after a lag.
#[derive(Debug)]
pub(crate) struct LoadHistory {
    lag: Duration,
    current: LoadReport,
    pending: VecDeque<(Instant, LoadReport)>,
}

impl LoadHistory {
    pub(crate) fn new(lag: Duration, first: LoadReport) -> Self {
        Self {
            lag,
            current: first,
            pending: VecDeque::new(),
        }
    }

    /// Records the load of this moment. A report within the gap replaces the last one and keeps
    /// its time, so the end of a burst is always recorded.
    pub(crate) fn record(&mut self, report: LoadReport, now: Instant) {
        match self.pending.back_mut() {
            Some((at, last)) if now.duration_since(*at) < MIN_SAMPLE_INTERVAL => *last = report,
            _ => self.pending.push_back((now, report)),
        }
        self.advance(now);
    }

    /// Returns the report that is visible now.
    pub(crate) fn visible(&mut self, now: Instant) -> LoadReport {
        self.advance(now);
        self.current.clone()
    }

    fn advance(&mut self, now: Instant) {
        while self
            .pending
            .front()
            .is_some_and(|(at, _)| *at + self.lag <= now)
        {
            if let Some((_, report)) = self.pending.pop_front() {
                self.current = report;
            }
        }
    }
}
