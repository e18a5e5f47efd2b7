//! Limit of the requests that an instance takes while its path is congested.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time after a reduction in which its effect does not show yet.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Factor of the limit while the path is congested.
const REDUCTION: f64 = 0.8;
/// Factor of the limit for each window in which the path is clear, at first.
const GROWTH: f64 = 1.03;
/// The same once the path has been clear for some windows, or while the limit is far below what the
/// path has carried.
const GROWTH_FAST: f64 = 1.25;
/// Number of clear windows after which the limit grows fast.
const CLEAR_WINDOWS: u32 = 10;
/// Fraction of what the path has carried up to which the limit grows fast.
const CARRIED_FRACTION: f64 = 0.7;
/// Requests a second up to which the limit grows fast, as they take little of a path.
const RATE_SMALL: f64 = 20.0;
/// Fraction of the demand that is always taken, which shows when the path is clear again.
const DEMAND_FRACTION: f64 = 0.1;
/// Requests a second that are always taken.
const RATE_MIN: f64 = 5.0;
/// Multiple of the demand above which a limit is lifted.
const LIFT_FACTOR: f64 = 2.0;
/// Time in which the tokens for all admissions are refilled.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Least number of requests that may be admitted at once.
const BURST_MIN: f64 = 4.0;

/// Requests per second that bear on the limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestRates {
    /// Requests that arrive.
    pub(super) demand: f64,
    /// Requests that are taken.
    pub(super) taken: f64,
    /// Most requests that were taken while the path was clear.
    pub(super) carried: f64,
}

/// Tokens for requests, refilled at the limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct TakenLimit {
    /// Requests per second.
    pub(super) rate: f64,
    tokens: f64,
    filled_at: MonotonicTime,
    reduced_at: MonotonicTime,
    clear_windows: u32,
}

impl TakenLimit {
    /// Creates the limit of a path that has become congested.
    pub(super) fn new(rates: &RequestRates, now: MonotonicTime) -> Self {
        Self {
            rate: reduced_rate(rates),
            tokens: 0.0,
            filled_at: now,
            reduced_at: now,
            clear_windows: 0,
        }
    }

    /// Takes a token if more than a fraction `reserve` of them is left. A negative fraction may be owed.
    pub(super) fn try_take(&mut self, reserve: f64, now: MonotonicTime) -> bool {
        self.refill(now);
        let is_taken = self.tokens >= reserve * self.burst() + 1.0;
        if is_taken {
            self.tokens -= 1.0;
        }
        is_taken
    }

    /// Reduces the limit, unless the last reduction does not show yet. Returns whether it did.
    pub(super) fn reduce(&mut self, rates: &RequestRates, now: MonotonicTime) -> bool {
        if now.since(self.reduced_at) < SETTLE_TIME {
            return false;
        }
        let tokens = self.tokens;
        *self = Self {
            tokens,
            ..Self::new(rates, now)
        };
        true
    }

    /// Raises the limit after a clear window. Returns whether it is still needed.
    pub(super) fn grow(&mut self, rates: &RequestRates, now: MonotonicTime) -> bool {
        self.refill(now);
        self.clear_windows += 1;
        let is_low = self.rate < RATE_SMALL.max(rates.carried * CARRIED_FRACTION);
        self.rate *= match is_low || self.clear_windows > CLEAR_WINDOWS {
            true => GROWTH_FAST,
            false => GROWTH,
        };
        self.rate <= rates.demand * LIFT_FACTOR
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(BURST_MIN)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let added = self.rate * now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.burst());
        self.filled_at = now;
    }
}

fn reduced_rate(rates: &RequestRates) -> f64 {
    let least = RATE_MIN.max(rates.demand * DEMAND_FRACTION);
    (rates.taken * REDUCTION).max(least)
}
