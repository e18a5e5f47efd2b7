//! Prediction of the rate at which a budget is spent.

use std::time::Duration;

use crate::base::{MonotonicTime, TokenCount};

/// Weight of a new rate in the level, per second of observation.
const LEVEL_WEIGHT: f64 = 0.15;

/// Weight of a new slope in the trend, per second of observation.
const TREND_WEIGHT: f64 = 0.05;

/// Time constant of the mean rate, in seconds. Reserves for hours follow the mean rate, because a
/// single request would swing a fast one by more than the reserve.
const MEAN_SECONDS: f64 = 300.0;

/// Shortest time between two observations.
const STEP: Duration = Duration::from_secs(1);

/// Longest time over which the trend is extended; a longer one multiplies its noise.
const TREND_REACH: Duration = Duration::from_secs(20);

/// Most steps that one update makes after a pause; the level has decayed by then.
const MAX_STEPS: u32 = 60;

/// Predicts the tokens that leave a balance by double exponential smoothing (level and trend).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BurnForecast {
    level: f64,
    trend: f64,
    mean: f64,
    outflow: i64,
    updated: MonotonicTime,
    is_started: bool,
}

impl BurnForecast {
    /// Counts tokens that left the balance.
    pub const fn add(&mut self, amount: TokenCount) {
        self.outflow = self.outflow.saturating_add_unsigned(amount.get());
    }

    /// Subtracts tokens that came back, because a request cost less than it had reserved.
    pub const fn remove(&mut self, amount: TokenCount) {
        self.outflow = self.outflow.saturating_sub_unsigned(amount.get());
    }

    /// Takes the tokens counted since the last update into account, at most once per second.
    pub fn update(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated);
        if elapsed < STEP {
            return;
        }
        let seconds = elapsed.as_secs_f64();
        let rate = self.outflow.max(0) as f64 / seconds;
        // A surplus of refunds lowers the next rates.
        self.outflow = self.outflow.min(0);
        self.updated = now;
        if !self.is_started {
            self.is_started = rate > 0.0;
            self.level = rate;
            return;
        }
        // The mean starts at zero: the first requests reserve more than they will cost.
        self.mean += (rate - self.mean) * (1.0 - (-seconds / MEAN_SECONDS).exp());
        let steps = (seconds as u32).clamp(1, MAX_STEPS);
        for _ in 0..steps {
            let earlier = self.level;
            self.level += LEVEL_WEIGHT * (rate - earlier) + (1.0 - LEVEL_WEIGHT) * self.trend;
            self.level = self.level.max(0.0);
            self.trend += TREND_WEIGHT * (self.level - earlier - self.trend);
        }
    }

    /// Returns the tokens that are expected to leave the balance during `period`.
    #[must_use]
    pub fn predict(&self, period: Duration) -> TokenCount {
        let seconds = period.as_secs_f64();
        let reach = seconds.min(TREND_REACH.as_secs_f64());
        let slope_tokens = self.trend * reach * (seconds - reach / 2.0);
        let tokens = (self.level * seconds + slope_tokens).max(0.0);
        TokenCount::new(tokens.ceil() as u64)
    }

    /// Returns the tokens that leave the balance during `period` at the mean rate.
    #[must_use]
    pub fn predict_mean(&self, period: Duration) -> TokenCount {
        TokenCount::new((self.mean * period.as_secs_f64()).ceil() as u64)
    }

    /// Returns the smoothed rate, in tokens per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.level
    }
}
