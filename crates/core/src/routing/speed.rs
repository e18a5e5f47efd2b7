//! Learnt speed of one upstream.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time in which a peak of the service time loses 63% of its height.
const PEAK_DECAY: Duration = Duration::from_secs(5);
/// Time in which an unused upstream gets 63% of its best known speed back, so that a recovered one
/// is tried again.
const IDLE_DECAY: Duration = Duration::from_secs(60);
/// Weight of one sample in the averages.
const SMOOTHING: f64 = 0.1;
/// Weight of one sample above the peak.
const PEAK_SMOOTHING: f64 = 0.3;
/// Prompt tokens that take as long as the steps of a batch before the first token.
const FIXED_TOKENS: f64 = 500.0;

/// Learns the time to first token per prompt token and the duration of whole answers.
#[derive(Clone, Debug, Default)]
pub(super) struct SpeedEstimate {
    first: Option<FirstToken>,
    duration_s: Option<f64>,
}

/// Learns the seconds to first token per effective token.
#[derive(Clone, Copy, Debug)]
struct FirstToken {
    average_s: f64,
    excess_s: f64,
    best_s: f64,
    updated: MonotonicTime,
}

impl FirstToken {
    fn value_s(&self, now: MonotonicTime) -> f64 {
        let idle_s = now.since(self.updated).as_secs_f64();
        let excess_s = self.excess_s * (-idle_s / PEAK_DECAY.as_secs_f64()).exp();
        let kept = (-idle_s / IDLE_DECAY.as_secs_f64()).exp();
        self.best_s + (self.average_s - self.best_s) * kept + excess_s
    }
}

impl SpeedEstimate {
    /// Returns the learnt seconds to first token of an unqueued request per effective token.
    pub(super) fn first_s(&self, now: MonotonicTime) -> Option<f64> {
        self.first.map(|first| first.value_s(now))
    }

    /// Returns the learnt duration of an answer in seconds.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Returns the prompt length that the time to first token is proportional to.
    pub(super) fn effective_tokens(prompt_tokens: u32) -> f64 {
        FIXED_TOKENS + f64::from(prompt_tokens)
    }

    /// Records a time to first token without its expected queueing time.
    ///
    /// The value rises quickly to a peak, and falls slowly to the average.
    pub(super) fn first_token(&mut self, service_s: f64, tokens: f64, now: MonotonicTime) {
        let sample_s = service_s.max(1e-5) / tokens.max(1.0);
        let Some(first) = &mut self.first else {
            self.first = Some(FirstToken {
                average_s: sample_s,
                excess_s: 0.0,
                best_s: sample_s,
                updated: now,
            });
            return;
        };
        let idle_s = now.since(first.updated).as_secs_f64();
        let excess_s = first.excess_s * (-idle_s / PEAK_DECAY.as_secs_f64()).exp();
        first.average_s += (sample_s - first.average_s) * SMOOTHING;
        let peak_s = first.average_s + excess_s;
        first.excess_s = if sample_s > peak_s {
            excess_s + (sample_s - peak_s) * PEAK_SMOOTHING
        } else {
            excess_s * (1.0 - SMOOTHING)
        };
        first.best_s = first.best_s.min(sample_s);
        // The best speed follows an upstream that has become slower for good.
        first.best_s += (first.average_s - first.best_s) * SMOOTHING * SMOOTHING;
        first.updated = now;
    }

    /// Records the duration of a whole answer.
    pub(super) fn answered(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let value = self.duration_s.unwrap_or(sample);
        self.duration_s = Some(value + (sample - value) * SMOOTHING);
    }
}
