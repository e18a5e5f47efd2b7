//! Current slowness of a machine that an upstream shares with others.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 0.05;
/// Bounds of a stated slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.2, 10.0);

/// Stated slowness of an upstream. A statement loses its weight with its age, because the slowness
/// changes within parts of a second.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlownessEstimate {
    mean: f64,
    latest: f64,
    at: MonotonicTime,
}

impl Default for SlownessEstimate {
    fn default() -> Self {
        Self {
            mean: 1.0,
            latest: 1.0,
            at: MonotonicTime::START,
        }
    }
}

impl SlownessEstimate {
    /// Records a stated slowness.
    pub(super) fn record(&mut self, slowness: f64, at: MonotonicTime) {
        let slowness = slowness.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.mean += (slowness - self.mean) * MEAN_WEIGHT;
        if at >= self.at {
            (self.latest, self.at) = (slowness, at);
        }
    }

    /// Returns the expected duration of work relative to the mean, which measured times contain.
    pub(super) fn factor(&self, decay: Duration, now: MonotonicTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        let weight = (-age / decay.as_secs_f64()).exp();
        1.0 + (self.latest / self.mean - 1.0) * weight
    }
}
