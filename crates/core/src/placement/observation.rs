//! Failures of upstreams that the instances of a domain tell each other.

use std::{collections::HashMap, time::Duration};

use crate::base::{MonotonicTime, UpstreamName};

/// Age from which a failure is not told any more.
const AGE_MAX: Duration = Duration::from_secs(1);
/// Maximum number of failures in one message.
const FAILURES_MAX: usize = 48;

/// Load of an upstream as its response reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Current duration of work relative to the usual one, if the upstream states it.
    pub slowness: Option<f64>,
}

/// An upstream that an instance could not reach, or that did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamFailure {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Start time of its process in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
    /// Time since the failure.
    pub age: Duration,
}

/// Latest failures that were not told to the peers yet, by upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UntoldFailures {
    failures: HashMap<UpstreamName, (Option<u64>, MonotonicTime)>,
}

impl UntoldFailures {
    /// Records a failure.
    pub(super) fn record(
        &mut self,
        upstream: UpstreamName,
        started_unix_ms: Option<u64>,
        now: MonotonicTime,
    ) {
        if self.failures.len() < FAILURES_MAX || self.failures.contains_key(&upstream) {
            self.failures.insert(upstream, (started_unix_ms, now));
        }
    }

    /// Removes and returns the recent failures.
    pub(super) fn take(&mut self, now: MonotonicTime) -> Vec<UpstreamFailure> {
        let failures = self.failures.drain();
        let failures = failures.map(|(upstream, (started_unix_ms, at))| UpstreamFailure {
            upstream,
            started_unix_ms,
            age: now.since(at),
        });
        failures.filter(is_recent).collect()
    }
}

/// Returns whether a failure still says something about its upstream.
pub(super) fn is_recent(failure: &UpstreamFailure) -> bool {
    failure.age < AGE_MAX
}
