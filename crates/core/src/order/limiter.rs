//! Token bucket that keeps the writes of orders within the rate limit of the platform.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time for which unused rate accumulates.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Limits the orders of one instance to its share of the fleet rate.
#[derive(Clone, Debug)]
pub struct OrderLimiter {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: MonotonicTime,
}

impl OrderLimiter {
    /// Creates a limiter for a fleet rate in orders per second, with one live instance.
    #[must_use]
    pub fn new(fleet_per_s: f64, now: MonotonicTime) -> Self {
        let mut limiter = Self {
            rate_per_s: 0.0,
            tokens: 0.0,
            refilled_at: now,
        };
        limiter.set_share(fleet_per_s, 1, now);
        limiter.tokens = limiter.capacity();
        limiter
    }

    /// Sets the fleet rate in orders per second and the number of live instances.
    pub fn set_share(&mut self, fleet_per_s: f64, live_instances: usize, now: MonotonicTime) {
        self.refill(now);
        self.rate_per_s = fleet_per_s.max(0.0) / live_instances.max(1) as f64;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes one token; returns whether the order may proceed.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }

    fn refill(&mut self, now: MonotonicTime) {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.capacity());
        self.refilled_at = now;
    }

    /// Returns the burst size. It is at least one order, because a smaller bucket would never admit
    /// any.
    fn capacity(&self) -> f64 {
        match self.rate_per_s > 0.0 {
            true => (self.rate_per_s * BURST_TIME.as_secs_f64()).max(1.0),
            false => 0.0,
        }
    }
}
