//! Learnt speed of one upstream.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time in which a peak of the service time loses 63% of its height.
const DECAY: Duration = Duration::from_secs(10);
/// Weight of one sample below the average.
const SMOOTHING: f64 = 0.1;
/// Prompt tokens that stand for the fixed cost of a request.
const FIXED_TOKENS: f64 = 64.0;

/// Learns the time to first token per prompt token and the duration of whole answers.
#[derive(Clone, Debug, Default)]
pub(super) struct SpeedEstimate {
    first_s: Option<f64>,
    duration_s: Option<f64>,
    updated: MonotonicTime,
}

impl SpeedEstimate {
    /// Returns the learnt seconds to first token of an unqueued request per effective token.
    pub(super) const fn first_s(&self) -> Option<f64> {
        self.first_s
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
    /// The average rises at once to a peak, and falls slowly.
    pub(super) fn first_token(&mut self, service_s: f64, tokens: f64, now: MonotonicTime) {
        let sample = service_s.max(1e-5) / tokens.max(1.0);
        let value = match self.first_s {
            Some(value) if sample > value => value + (sample - value) * 0.5,
            Some(value) => {
                let idle = now.since(self.updated).as_secs_f64() / DECAY.as_secs_f64();
                let weight = SMOOTHING.max(1.0 - (-idle).exp());
                value + (sample - value) * weight
            }
            None => sample,
        };
        self.first_s = Some(value);
        self.updated = now;
    }

    /// Records the duration of a whole answer.
    pub(super) fn answered(&mut self, duration: Duration) {
        let sample = duration.as_secs_f64();
        let value = self.duration_s.unwrap_or(sample);
        self.duration_s = Some(value + (sample - value) * SMOOTHING);
    }
}
