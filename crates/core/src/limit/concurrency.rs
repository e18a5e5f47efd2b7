//! Adaptive limit of requests in flight at one upstream.

use std::time::Duration;

/// Smallest limit, so that a recovered upstream is measured again.
const DEFAULT_MIN: f64 = 2.0;
/// Ratio of observed to learnt minimum latency that is tolerated without shrinking.
const DEFAULT_TOLERANCE: f64 = 2.0;
/// Weight of one latency in the average that is compared with the learnt minimum. Single latencies
/// vary by more than the tolerance with the phase of the engine's step.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Weight of one new limit value.
const SMOOTHING: f64 = 0.1;
/// Largest shrink of one step.
const GRADIENT_MIN: f64 = 0.5;
/// Growth of the learnt minimum per sample, so that it follows a slower upstream.
const MINIMUM_DRIFT: f64 = 1.001;

/// Configures [`ConcurrencyLimit`].
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyOptions {
    /// Smallest limit in requests.
    pub min: f64,
    /// Largest limit in requests.
    pub max: f64,
    /// Ratio of observed to learnt minimum latency that is tolerated without shrinking.
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
/// The limit follows `limit * gradient + sqrt(limit)`, where the gradient is the tolerated
/// latency divided by the observed latency, between 0.5 and 1.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    options: ConcurrencyOptions,
    limit: f64,
    average_s: Option<f64>,
    minimum_s: Option<f64>,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at its maximum.
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

    /// Changes the largest limit.
    pub fn set_max(&mut self, max: f64) {
        self.options.max = max.max(1.0);
        self.limit = self.limit.clamp(self.floor(), self.options.max);
    }

    /// Records the latency of a request that was sent with `in_flight` requests in flight.
    ///
    /// Latencies of requests of different length must be made comparable first.
    pub fn observe(&mut self, latency: Duration, in_flight: u32) {
        let gradient = self.learn(latency);
        self.follow(gradient, in_flight);
    }

    /// Records the latency of a request while the upstream reports that hardly any request waits.
    ///
    /// A larger batch takes longer for each step, so a growing latency without a queue does not
    /// mean that the limit is too large.
    pub fn observe_unqueued(&mut self, latency: Duration, in_flight: u32) {
        self.learn(latency);
        self.follow(1.0, in_flight);
    }

    /// Learns from a latency and returns the gradient.
    fn learn(&mut self, latency: Duration) -> f64 {
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

    fn follow(&mut self, gradient: f64, in_flight: u32) {
        // Without load the latency tells nothing about a larger limit.
        if gradient >= 1.0 && f64::from(in_flight) * 2.0 < self.limit {
            return;
        }
        let target = self.limit * gradient + self.limit.sqrt();
        let limit = self.limit * (1.0 - SMOOTHING) + target * SMOOTHING;
        self.limit = limit.clamp(self.floor(), self.options.max);
    }

    /// Records an overload refusal or a timeout, which shrinks the limit at once.
    pub fn record_overload(&mut self) {
        self.limit = (self.limit * 0.9).clamp(self.floor(), self.options.max);
    }

    fn floor(&self) -> f64 {
        self.options.min.min(self.options.max)
    }
}
