//! Latency estimates: a linear model over the prompt length per group, and a factor per upstream.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Decay time constant of latency peaks (63% decay).
const PEAK_DECAY: Duration = Duration::from_secs(5);
/// Time constant with which the factor of an unused upstream returns to its best known value (63%),
/// so that a recovered upstream is tried again.
const IDLE_DECAY: Duration = Duration::from_secs(60);
/// Smoothing factor of the latency factor of an upstream and of the duration of answers.
const SMOOTHING: f64 = 0.05;
/// Smoothing factor of the latency model of a group.
const MODEL_SMOOTHING: f64 = 0.01;
/// Smoothing factor of the peak of latencies above the prediction.
const PEAK_SMOOTHING: f64 = 0.1;
/// Maximum ratio of a sample to its prediction, which limits the influence of outliers.
const RATIO_MAX: f64 = 4.0;
/// Bounds of the factor of an upstream, so that latencies of zero cannot reduce it to zero.
const FACTOR_MIN: f64 = 0.01;
const FACTOR_MAX: f64 = 100.0;
/// Reference prompt length for comparing latencies, in tokens.
pub(super) const REFERENCE_TOKENS: f64 = 500.0;
/// Minimum variance of prompt lengths for estimating the slope, in square tokens.
const VARIANCE_MIN: f64 = 100.0;
/// Maximum fraction of the mean latency attributed to the slope, so that short prompts never appear
/// to be free.
const SLOPE_SHARE_MAX: f64 = 0.9;
/// Minimum predicted latency in seconds.
const LATENCY_MIN_S: f64 = 1e-5;
/// Prior of the fixed part of the latency, in seconds.
const PRIOR_FIXED_S: f64 = 0.1;
/// Prior of the latency per prompt token, in seconds.
const PRIOR_SLOPE_S: f64 = 0.000_2;
/// Weight of the prior slope in samples, because a slope fitted to few samples is unreliable.
const PRIOR_SAMPLES: f64 = 10.0;

/// Exponentially weighted linear regression of the time to first token on the prompt length.
///
/// All upstreams of a group share one model, because a single upstream answers too few requests of
/// one router to fit a slope of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyModel {
    tokens: f64,
    latency_s: f64,
    tokens_squared: f64,
    product: f64,
    /// Mean factor of the upstreams, which anchors the model to measured latencies.
    factor: f64,
    samples: f64,
}

impl LatencyModel {
    /// Returns the expected time to first token in seconds at an average upstream.
    pub(super) fn value_s(&self, tokens: f64) -> f64 {
        if self.samples < 1.0 {
            return PRIOR_FIXED_S + PRIOR_SLOPE_S * tokens;
        }
        let variance = self.tokens_squared - self.tokens * self.tokens;
        let slope_max = SLOPE_SHARE_MAX * self.latency_s / self.tokens.max(1.0);
        let slope = if variance < VARIANCE_MIN {
            PRIOR_SLOPE_S
        } else {
            let trust = self.samples / (self.samples + PRIOR_SAMPLES);
            let fitted = (self.product - self.tokens * self.latency_s) / variance;
            fitted * trust + PRIOR_SLOPE_S * (1.0 - trust)
        };
        let slope = slope.clamp(0.0, slope_max);
        (self.latency_s + slope * (tokens - self.tokens)).max(LATENCY_MIN_S)
    }

    fn record(&mut self, tokens: f64, latency_s: f64, factor: f64) {
        self.samples += 1.0;
        let weight = MODEL_SMOOTHING.max(1.0 / self.samples);
        self.factor += (factor - self.factor) * weight;
        let latency_s = (latency_s * self.factor / factor).max(LATENCY_MIN_S);
        self.tokens += (tokens - self.tokens) * weight;
        self.latency_s += (latency_s - self.latency_s) * weight;
        self.tokens_squared += (tokens * tokens - self.tokens_squared) * weight;
        self.product += (tokens * latency_s - self.product) * weight;
    }
}

/// Estimates the latency of one upstream relative to the model of its group.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedEstimate {
    factor: f64,
    best: f64,
    excess: f64,
    samples: f64,
    updated: MonotonicTime,
    duration_s: Option<f64>,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            factor: 1.0,
            best: 1.0,
            excess: 0.0,
            samples: 0.0,
            updated: MonotonicTime::START,
            duration_s: None,
        }
    }
}

impl SpeedEstimate {
    /// Returns the expected latency relative to the model of the group.
    pub(super) fn factor(&self, now: MonotonicTime) -> f64 {
        let idle_s = now.since(self.updated).as_secs_f64();
        let kept = (-idle_s / IDLE_DECAY.as_secs_f64()).exp();
        let usual = self.best + (self.factor - self.best) * kept;
        usual * (1.0 + self.excess(now))
    }

    /// Returns whether a time to first token was ever measured.
    pub(super) const fn is_known(&self) -> bool {
        self.samples > 0.0
    }

    /// Returns the average duration of an answer in seconds, if any was measured.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Records a time to first token, less its expected queueing delay.
    pub(super) fn record_first_token(
        &mut self,
        latency_model: &mut LatencyModel,
        service_s: f64,
        tokens: f64,
        now: MonotonicTime,
    ) {
        let expected_s = latency_model.value_s(tokens) * self.factor;
        let ratio = (service_s / expected_s).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let excess = self.excess(now);
        self.excess = (excess + (ratio - 1.0 - excess) * PEAK_SMOOTHING).max(0.0);
        self.samples += 1.0;
        // The first samples have equal weights, with the model as one of them.
        let weight = SMOOTHING.max(1.0 / (self.samples + 1.0));
        let factor = self.factor * (1.0 + (ratio - 1.0) * weight);
        self.factor = factor.clamp(FACTOR_MIN, FACTOR_MAX);
        // Slowly raises the best factor of an upstream that has become permanently slower.
        let follower = self.best + (self.factor - self.best) * SMOOTHING * SMOOTHING;
        self.best = self.factor.min(follower);
        self.updated = now;
        latency_model.record(tokens, expected_s * ratio, self.factor);
    }

    /// Records the duration of a complete answer.
    pub(super) fn record_duration(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let value = self.duration_s.unwrap_or(sample);
        self.duration_s = Some(value + (sample - value) * SMOOTHING);
    }

    fn excess(&self, now: MonotonicTime) -> f64 {
        let idle_s = now.since(self.updated).as_secs_f64();
        self.excess * (-idle_s / PEAK_DECAY.as_secs_f64()).exp()
    }
}
