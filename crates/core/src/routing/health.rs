//! Failure tracking, ejection and slow start of one upstream.

use std::time::Duration;

use crate::{base::MonotonicTime, routing::RoutingOptions};

/// Smoothing factor of the failure rate.
const RATE_SMOOTHING: f64 = 0.1;
/// Minimum number of outcomes before the failure rate can eject an upstream.
const RATE_SAMPLES_MIN: u32 = 10;
/// Initial fraction of the capacity in slow start.
const RAMP_MIN: f64 = 0.1;

/// Tracks the health of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamHealth {
    consecutive_failures: u32,
    failure_rate: f64,
    samples: u32,
    ejections: u32,
    ejected_until: Option<MonotonicTime>,
    ramp_from: Option<MonotonicTime>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream whose slow start begins at `ramp_from`, if any.
    pub(super) const fn new(ramp_from: Option<MonotonicTime>) -> Self {
        Self {
            consecutive_failures: 0,
            failure_rate: 0.0,
            samples: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from,
        }
    }

    pub(super) const fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    pub(super) const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the end of the ejection if the upstream is ejected.
    pub(super) fn ejected_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Returns the usable fraction of the capacity, between 0.1 and 1.
    pub(super) fn ramp(&self, slow_start: Duration, now: MonotonicTime) -> f64 {
        match self.ramp_from {
            Some(from) if !slow_start.is_zero() => {
                let share = now.since(from).as_secs_f64() / slow_start.as_secs_f64();
                share.clamp(RAMP_MIN, 1.0)
            }
            _ => 1.0,
        }
    }

    pub(super) fn record_success(&mut self, now: MonotonicTime) {
        self.consecutive_failures = 0;
        self.record_sample(0.0);
        // Resets the back-off on a success at least 60 s after the end of the last ejection.
        let healthy = self
            .ejected_until
            .is_none_or(|until| now.since(until) >= Duration::from_secs(60));
        if healthy {
            self.ejections = 0;
        }
    }

    /// Records a failure and returns whether the upstream should be ejected.
    pub(super) fn record_failure(&mut self, options: &RoutingOptions) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.record_sample(1.0);
        self.consecutive_failures >= options.eject_failures
            || (self.samples >= RATE_SAMPLES_MIN && self.failure_rate >= options.eject_rate)
    }

    /// Ejects the upstream. The ejection time doubles with each consecutive ejection.
    pub(super) fn eject(&mut self, options: &RoutingOptions, now: MonotonicTime) {
        let factor = 1_u32 << self.ejections.min(16);
        let time = options
            .eject_min
            .saturating_mul(factor)
            .min(options.eject_max);
        let until = now + time;
        self.ejections += 1;
        self.ejected_until = Some(until);
        self.ramp_from = Some(until);
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }

    fn record_sample(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += (value - self.failure_rate) * RATE_SMOOTHING;
    }
}
