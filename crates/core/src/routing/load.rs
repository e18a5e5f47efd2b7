//! Estimated load of one upstream.

use std::{collections::VecDeque, time::Duration};

use crate::base::MonotonicTime;

/// Changes of the own load that are kept to correct a load report.
const CHANGES_MAX: usize = 4096;
/// Largest share of waiting requests at an upstream that counts as no queue: between two steps of
/// an engine, new requests wait although the batch has room.
const QUEUE_SHARE: f64 = 0.25;

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    requests: f64,
    /// Requests that wait at the upstream.
    queued: f64,
    at: MonotonicTime,
}

/// Estimates the number of requests at one upstream from a lagging report and own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadEstimate {
    own: u32,
    changes: VecDeque<(MonotonicTime, i32)>,
    /// Sum of the changes.
    delta: i32,
    report: Option<ReportedLoad>,
}

impl LoadEstimate {
    /// Returns own requests in flight.
    pub(super) const fn own(&self) -> u32 {
        self.own
    }

    pub(super) fn started(&mut self, now: MonotonicTime) {
        self.own += 1;
        self.change(1, now);
    }

    pub(super) fn finished(&mut self, now: MonotonicTime) {
        self.own = self.own.saturating_sub(1);
        self.change(-1, now);
    }

    /// Records a report that was taken at `at`. An older report than the last is ignored.
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

    /// Forgets the report, because the upstream was lost.
    pub(super) fn forget_report(&mut self) {
        self.report = None;
        self.changes.clear();
        self.delta = 0;
    }

    /// Returns whether a fresh report says that the upstream has hardly any queue.
    pub(super) fn is_unqueued(&self, max_age: Duration, now: MonotonicTime) -> bool {
        self.report.is_some_and(|report| {
            now.since(report.at) < max_age && report.queued <= report.requests * QUEUE_SHARE
        })
    }

    /// Returns the age of the report.
    pub(super) fn report_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.report.map(|report| now.since(report.at))
    }

    /// Returns the estimated number of requests at the upstream.
    ///
    /// Own changes since the report are multiplied by `scale`, because other routers see the same
    /// report and act alike.
    pub(super) fn estimate(&self, scale: f64, max_age: Duration, now: MonotonicTime) -> f64 {
        let own = f64::from(self.own);
        match self.report {
            Some(report) if now.since(report.at) < max_age => {
                (report.requests + f64::from(self.delta) * scale).max(own)
            }
            _ => own,
        }
    }

    fn change(&mut self, change: i32, now: MonotonicTime) {
        if self.report.is_none() {
            return;
        }
        if self.changes.len() >= CHANGES_MAX {
            self.forget_report();
            return;
        }
        self.delta += change;
        self.changes.push_back((now, change));
    }
}
