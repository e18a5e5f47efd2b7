//! Learnt speeds: a line over the prompt length per group, and a factor per upstream.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time in which a peak of the factor loses 63% of its height.
const PEAK_DECAY: Duration = Duration::from_secs(5);
/// Time in which an unused upstream gets 63% of its best known speed back, so that a recovered one
/// is tried again.
const IDLE_DECAY: Duration = Duration::from_secs(60);
/// Weight of one sample in the factor of an upstream and in the duration of answers.
const SMOOTHING: f64 = 0.05;
/// Weight of one sample in the line of a group.
const LINE_SMOOTHING: f64 = 0.01;
/// Weight of one sample above the prediction in the peak.
const PEAK_SMOOTHING: f64 = 0.1;
/// Largest ratio of a sample to its prediction, so that one outlier does not hide the speed.
const RATIO_MAX: f64 = 4.0;
/// Bounds of the factor of an upstream, so that latencies of zero cannot make it vanish.
const FACTOR_MIN: f64 = 0.01;
const FACTOR_MAX: f64 = 100.0;
/// Prompt length at which speeds are shown, in tokens.
pub(super) const REFERENCE_TOKENS: f64 = 500.0;
/// Spread of prompt lengths from which a slope is computed, in square tokens.
const VARIANCE_MIN: f64 = 100.0;
/// Largest share of the mean latency that the slope explains, so that short prompts never look
/// free.
const SLOPE_SHARE_MAX: f64 = 0.9;
/// Smallest latency that is expected, in seconds.
const LATENCY_MIN_S: f64 = 1e-5;
/// Fixed part of the latency before anything is learnt, in seconds.
const PRIOR_FIXED_S: f64 = 0.1;
/// Latency per prompt token before anything is learnt, in seconds.
const PRIOR_SLOPE_S: f64 = 0.000_2;
/// Samples for which the assumed slope counts, because a few samples give any slope.
const PRIOR_SAMPLES: f64 = 10.0;

/// Learns the time to first token as a line over the prompt length.
///
/// The line is common to all upstreams of a group. A single upstream answers too few requests of
/// one router to learn a slope of its own.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LatencyLine {
    tokens: f64,
    latency_s: f64,
    tokens_squared: f64,
    product: f64,
    /// Mean factor of the upstreams, which ties the line to measured latencies.
    factor: f64,
    samples: f64,
}

impl LatencyLine {
    /// Returns the expected seconds to first token at an average upstream.
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
            let learnt = (self.product - self.tokens * self.latency_s) / variance;
            learnt * trust + PRIOR_SLOPE_S * (1.0 - trust)
        };
        let slope = slope.clamp(0.0, slope_max);
        (self.latency_s + slope * (tokens - self.tokens)).max(LATENCY_MIN_S)
    }

    fn record(&mut self, tokens: f64, latency_s: f64, factor: f64) {
        self.samples += 1.0;
        let weight = LINE_SMOOTHING.max(1.0 / self.samples);
        self.factor += (factor - self.factor) * weight;
        let latency_s = (latency_s * self.factor / factor).max(LATENCY_MIN_S);
        self.tokens += (tokens - self.tokens) * weight;
        self.latency_s += (latency_s - self.latency_s) * weight;
        self.tokens_squared += (tokens * tokens - self.tokens_squared) * weight;
        self.product += (tokens * latency_s - self.product) * weight;
    }
}

/// Learns how much slower one upstream is than the line of its group.
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
    /// Returns the expected latency relative to the line of the group.
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

    /// Returns the learnt duration of an answer in seconds.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Records a time to first token without its expected queueing time.
    pub(super) fn first_token(
        &mut self,
        line: &mut LatencyLine,
        service_s: f64,
        tokens: f64,
        now: MonotonicTime,
    ) {
        let expected_s = line.value_s(tokens) * self.factor;
        let ratio = (service_s / expected_s).clamp(1.0 / RATIO_MAX, RATIO_MAX);
        let excess = self.excess(now);
        self.excess = (excess + (ratio - 1.0 - excess) * PEAK_SMOOTHING).max(0.0);
        self.samples += 1.0;
        // The first samples count evenly, with the line as one of them.
        let weight = SMOOTHING.max(1.0 / (self.samples + 1.0));
        let factor = self.factor * (1.0 + (ratio - 1.0) * weight);
        self.factor = factor.clamp(FACTOR_MIN, FACTOR_MAX);
        // The best speed follows an upstream that has become slower for good.
        let follower = self.best + (self.factor - self.best) * SMOOTHING * SMOOTHING;
        self.best = self.factor.min(follower);
        self.updated = now;
        line.record(tokens, expected_s * ratio, self.factor);
    }

    /// Records the duration of a whole answer.
    pub(super) fn answered(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let value = self.duration_s.unwrap_or(sample);
        self.duration_s = Some(value + (sample - value) * SMOOTHING);
    }

    fn excess(&self, now: MonotonicTime) -> f64 {
        let idle_s = now.since(self.updated).as_secs_f64();
        self.excess * (-idle_s / PEAK_DECAY.as_secs_f64()).exp()
    }
}
