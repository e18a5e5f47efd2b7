//! Failures, ejections and slow start of one upstream.

use std::time::Duration;

use crate::{base::MonotonicTime, routing::RoutingOptions};

/// Weight of one outcome in the failure rate.
const RATE_SMOOTHING: f64 = 0.1;
/// Outcomes after which the failure rate is meaningful.
const RATE_SAMPLES_MIN: u32 = 10;
/// Smallest share of the capacity in slow start.
const RAMP_MIN: f64 = 0.1;

/// Tracks the health of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamHealth {
    in_a_row: u32,
    failure_rate: f64,
    samples: u32,
    ejections: u32,
    ejected_until: Option<MonotonicTime>,
    ramp_from: Option<MonotonicTime>,
}

impl UpstreamHealth {
    /// Creates the health of an upstream that is used from `ramp_from` on.
    pub(super) const fn new(ramp_from: Option<MonotonicTime>) -> Self {
        Self {
            in_a_row: 0,
            failure_rate: 0.0,
            samples: 0,
            ejections: 0,
            ejected_until: None,
            ramp_from,
        }
    }

    pub(super) const fn in_a_row(&self) -> u32 {
        self.in_a_row
    }

    pub(super) const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the end of the ejection if the upstream is ejected.
    pub(super) fn ejected_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Returns the usable share of the capacity, between 0.1 and 1.
    pub(super) fn ramp(&self, slow_start: Duration, now: MonotonicTime) -> f64 {
        match self.ramp_from {
            Some(from) if !slow_start.is_zero() => {
                let share = now.since(from).as_secs_f64() / slow_start.as_secs_f64();
                share.clamp(RAMP_MIN, 1.0)
            }
            _ => 1.0,
        }
    }

    pub(super) fn succeeded(&mut self, now: MonotonicTime) {
        self.in_a_row = 0;
        self.sample(0.0);
        // Ejections count as consecutive until the upstream has been healthy for some time.
        let healthy = self
            .ejected_until
            .is_none_or(|until| now.since(until) >= Duration::from_secs(60));
        if healthy {
            self.ejections = 0;
        }
    }

    /// Records a failure and returns whether the upstream should be ejected.
    pub(super) fn failed(&mut self, options: &RoutingOptions) -> bool {
        self.in_a_row = self.in_a_row.saturating_add(1);
        self.sample(1.0);
        self.in_a_row >= options.eject_failures
            || (self.samples >= RATE_SAMPLES_MIN && self.failure_rate >= options.eject_rate)
    }

    /// Ejects the upstream. The time doubles with each ejection in a row.
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
        self.in_a_row = 0;
        self.failure_rate = 0.0;
        self.samples = 0;
    }

    fn sample(&mut self, value: f64) {
        self.samples = self.samples.saturating_add(1);
        self.failure_rate += (value - self.failure_rate) * RATE_SMOOTHING;
    }
}
