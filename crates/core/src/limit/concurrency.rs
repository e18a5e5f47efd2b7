//! Adaptive limit on the requests in flight at one upstream.

use std::time::Duration;

/// Minimum limit, above zero so that the recovery of an upstream is noticed.
const DEFAULT_MIN: f64 = 2.0;
/// Ratio of the average latency to the minimum latency up to which the limit does not shrink.
const DEFAULT_TOLERANCE: f64 = 2.0;
/// Weight of one sample in the average latency that is compared with the minimum. Single samples
/// vary by more than the tolerance, depending on when they arrive within the engine's step.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Weight of the new target in the smoothed limit.
const SMOOTHING: f64 = 0.1;
/// Lower bound on the gradient, which limits how far one sample shrinks the limit.
const GRADIENT_MIN: f64 = 0.5;
/// Growth of the minimum latency per sample, so that it adapts to an upstream that became slower.
const MINIMUM_DRIFT: f64 = 1.001;

/// Options of [`ConcurrencyLimit`].
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyOptions {
    /// Minimum limit, in requests.
    pub min: f64,
    /// Maximum limit, in requests.
    pub max: f64,
    /// Ratio of the average latency to the minimum latency up to which the limit does not shrink.
    pub tolerance: f64,
}

impl Default for ConcurrencyOptions {
    fn default() -> Self {
        Self {
            min: DEFAULT_MIN,
            max: 64.0,
            tolerance: DEFAULT_TOLERANCE,
        }
    }
}

/// Adapts the number of requests in flight at one upstream to its latency.
///
/// The limit moves towards `limit * gradient + sqrt(limit)`, where the gradient is the tolerated
/// latency divided by the average latency, clamped to the range from 0.5 to 1.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    options: ConcurrencyOptions,
    limit: f64,
    average_s: Option<f64>,
    minimum_s: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the maximum.
    #[must_use]
    pub fn new(options: ConcurrencyOptions) -> Self {
        Self {
            limit: options.max.max(1.0),
            options,
            average_s: None,
            minimum_s: None,
        }
    }

    /// Returns the number of requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Sets the maximum limit, but at least 1, and clamps the current limit to the new range.
    pub fn set_max(&mut self, max: f64) {
        self.options.max = max.max(1.0);
        self.limit = self.limit.clamp(self.floor(), self.options.max);
    }

    /// Records the latency of a request that was sent with `in_flight` requests in flight.
    ///
    /// The caller must normalize the latencies of requests of different lengths.
    pub fn observe(&mut self, latency: Duration, in_flight: u32) {
        let gradient = self.update_gradient(latency);
        self.adjust(gradient, in_flight);
    }

    /// Records the latency of a request while the upstream reports almost no queued requests.
    ///
    /// The steps of a larger batch take longer, so a growing latency without a queue does not mean
    /// that the limit is too high.
    pub fn observe_unqueued(&mut self, latency: Duration, in_flight: u32) {
        self.update_gradient(latency);
        self.adjust(1.0, in_flight);
    }

    /// Updates the average and the minimum latency, and returns the gradient.
    fn update_gradient(&mut self, latency: Duration) -> f64 {
        let sample_s = latency.as_secs_f64().max(1e-6);
        let average_s = self.average_s.unwrap_or(sample_s);
        let latency_s = average_s + (sample_s - average_s) * LATENCY_SMOOTHING;
        self.average_s = Some(latency_s);
        let minimum_s = match self.minimum_s {
            Some(minimum_s) => (minimum_s * MINIMUM_DRIFT).min(latency_s),
            None => latency_s,
        };
        self.minimum_s = Some(minimum_s);
        (self.options.tolerance * minimum_s / latency_s).clamp(GRADIENT_MIN, 1.0)
    }

    fn adjust(&mut self, gradient: f64, in_flight: u32) {
        // A low latency at low load is no evidence that a higher limit would hold.
        if gradient >= 1.0 && f64::from(in_flight) * 2.0 < self.limit {
            return;
        }
        let target = self.limit * gradient + self.limit.sqrt();
        let limit = self.limit * (1.0 - SMOOTHING) + target * SMOOTHING;
        self.limit = limit.clamp(self.floor(), self.options.max);
    }

    /// Records a refusal due to overload or a timeout, which shrinks the limit immediately.
    pub fn record_overload(&mut self) {
        self.limit = (self.limit * 0.9).clamp(self.floor(), self.options.max);
    }

    fn floor(&self) -> f64 {
        self.options.min.min(self.options.max)
    }
}
