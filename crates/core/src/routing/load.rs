//! Load estimate of one upstream.

use std::{collections::VecDeque, time::Duration};

use crate::base::MonotonicTime;

/// Maximum number of own load changes kept to correct a load report.
const CHANGES_MAX: usize = 4096;
/// Maximum fraction of queued requests that still counts as no queue: new requests queue between
/// two engine steps even if the batch has room.
const QUEUE_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: f64,
    /// Requests queued at the upstream.
    queued: f64,
    at: MonotonicTime,
}

/// Estimates the number of requests at one upstream from a stale load report and the requests of
/// this router.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    in_flight: u32,
    changes: VecDeque<(MonotonicTime, i32)>,
    /// Sum of `changes`.
    delta: i32,
    report: Option<ReportedLoad>,
}

impl LoadEstimate {
    /// Returns the number of requests of this router in flight.
    pub(super) const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn record_start(&mut self, now: MonotonicTime) {
        self.in_flight += 1;
        self.change(1, now);
    }

    pub(super) fn record_end(&mut self, now: MonotonicTime) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.change(-1, now);
    }

    /// Records a report taken at `at`. Reports older than the current one are ignored.
    pub(super) fn report(&mut self, running: u32, queued: u32, at: MonotonicTime) {
        if self.report.is_some_and(|report| report.at > at) {
            return;
        }
        self.report = Some(ReportedLoad {
            requests: f64::from(running) + f64::from(queued),
            queued: f64::from(queued),
            at,
        });
        while let Some(&(time, change)) = self.changes.front() {
            if time > at {
                break;
            }
            self.delta -= change;
            self.changes.pop_front();
        }
    }

    /// Discards the report, because the upstream was lost or the report can no longer be corrected.
    pub(super) fn clear_report(&mut self) {
        self.report = None;
        self.changes.clear();
        self.delta = 0;
    }

    /// Returns whether a recent report shows hardly any queue.
    pub(super) fn is_unqueued(&self, max_age: Duration, now: MonotonicTime) -> bool {
        self.report.is_some_and(|report| {
            now.since(report.at) < max_age && report.queued <= report.requests * QUEUE_SHARE
        })
    }

    pub(super) fn report_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Returns the estimated number of requests at the upstream.
    ///
    /// Changes by this router since the report are multiplied by `scale`, because other routers see
    /// the same report and react in the same way.
    pub(super) fn estimate(&self, scale: f64, max_age: Duration, now: MonotonicTime) -> f64 {
        let in_flight = f64::from(self.in_flight);
        match self.report {
            Some(report) if now.since(report.at) < max_age => {
                (report.requests + f64::from(self.delta) * scale).max(in_flight)
            }
            _ => in_flight,
        }
    }

    fn change(&mut self, change: i32, now: MonotonicTime) {
        if self.report.is_none() {
            return;
        }
        if self.changes.len() >= CHANGES_MAX {
            self.clear_report();
            return;
        }
        self.delta += change;
        self.changes.push_back((now, change));
    }
}
