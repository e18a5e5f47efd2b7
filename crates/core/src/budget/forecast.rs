//! Forecast of the rate at which a budget is spent.

use std::time::Duration;

use crate::base::{MonotonicTime, TokenCount};

/// Smoothing factor of the level, per second of observation.
const LEVEL_WEIGHT: f64 = 0.15;

/// Smoothing factor of the trend, per second of observation.
const TREND_WEIGHT: f64 = 0.05;

/// Time constant of the mean rate, in seconds. Reserves for hours are sized by the mean rate,
/// because a single request changes a faster average by more than the whole reserve.
const MEAN_SECONDS: f64 = 300.0;

/// Minimum interval between two updates.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time over which the trend is extrapolated. Extrapolating further amplifies its noise.
const MAX_TREND_PERIOD: Duration = Duration::from_secs(20);

/// Time constant of the rate of the last seconds.
const RECENT_SECONDS: f64 = 2.0;

/// Maximum number of smoothing steps of one update after a pause; the level has decayed by then.
const MAX_STEPS: u32 = 60;

/// Predicts the outflow of a balance by double exponential smoothing (level and trend).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BurnForecast {
    level: f64,
    trend: f64,
    recent: f64,
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

    /// Subtracts tokens that were refunded because a request cost less than its reservation.
    pub const fn remove(&mut self, amount: TokenCount) {
        self.outflow = self.outflow.saturating_sub_unsigned(amount.get());
    }

    /// Updates the forecast with the tokens counted since the last update, at most once per second.
    pub fn update(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.updated);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        let seconds = elapsed.as_secs_f64();
        let rate = self.outflow.max(0) as f64 / seconds;
        // A negative outflow carries over, so that surplus refunds lower the next rates.
        self.outflow = self.outflow.min(0);
        self.updated = now;
        let recent_weight = 1.0 - (-seconds / RECENT_SECONDS).exp();
        self.recent += (rate - self.recent) * recent_weight;
        if !self.is_started {
            self.is_started = rate > 0.0;
            self.level = rate;
            return;
        }
        // The mean starts at zero, because the first requests reserve more than they will cost.
        self.mean += (rate - self.mean) * (1.0 - (-seconds / MEAN_SECONDS).exp());
        let steps = (seconds as u32).clamp(1, MAX_STEPS);
        for _ in 0..steps {
            let previous = self.level;
            self.level += LEVEL_WEIGHT * (rate - previous) + (1.0 - LEVEL_WEIGHT) * self.trend;
            self.level = self.level.max(0.0);
            self.trend += TREND_WEIGHT * (self.level - previous - self.trend);
        }
    }

    /// Returns the predicted outflow during `period`, from level and trend.
    #[must_use]
    pub fn predict(&self, period: Duration) -> TokenCount {
        let seconds = period.as_secs_f64();
        let trend_seconds = seconds.min(MAX_TREND_PERIOD.as_secs_f64());
        let trend_tokens = self.trend * trend_seconds * (seconds - trend_seconds / 2.0);
        let tokens = (self.level * seconds + trend_tokens).max(0.0);
        TokenCount::new(tokens.ceil() as u64)
    }

    /// Returns the predicted outflow during `period` at the smoothed rate or that of the last
    /// seconds, whichever is higher, so that a reserve follows a rise at once and a fall slowly.
    #[must_use]
    pub fn predict_peak(&self, period: Duration) -> TokenCount {
        let recent = TokenCount::new((self.recent * period.as_secs_f64()).ceil() as u64);
        self.predict(period).max(recent)
    }

    /// Returns the predicted outflow during `period` at the mean rate.
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
