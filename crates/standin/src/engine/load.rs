//! Load reports, which lag behind the actual load.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Minimum time between two recorded reports, which bounds the size of the history.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(5);

/// The load of an upstream; the response body of `GET /load`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u64,
    /// Requests that wait to enter the batch.
    pub waiting: u64,
    /// The maximum number of concurrently running requests.
    pub batch_limit: u64,
    /// Whether the upstream is leaving and should receive no new requests.
    pub leaving: bool,
    /// Recent changes of the prefix cache; there may be gaps in the sequence numbers.
    pub cache: Vec<CacheEvent>,
}

/// Whether a prefix was stored in or evicted from the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number since the start of the engine.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheEventKind,
    /// The digest of the prefix as hexadecimal digits, which is specific to the engine.
    pub prefix: String,
}

/// History that makes each report visible after a lag.
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

    /// Records a report. A report within [`MIN_SAMPLE_INTERVAL`] replaces the previous one and
    /// keeps its time, so that the end of a burst is always recorded.
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
