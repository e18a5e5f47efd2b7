//! Rate limit of orders, which keeps their writes within the platform's rate.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time over which unused rate accumulates.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Limits the orders of one instance to its share of the fleet's rate.
#[derive(Clone, Debug)]
pub struct OrderLimiter {
    per_s: f64,
    level: f64,
    filled: MonotonicTime,
}

impl OrderLimiter {
    /// Creates a limiter for a fleet rate in orders per second, with one live instance.
    #[must_use]
    pub fn new(fleet_per_s: f64, now: MonotonicTime) -> Self {
        let mut limiter = Self {
            per_s: 0.0,
            level: 0.0,
            filled: now,
        };
        limiter.set_share(fleet_per_s, 1, now);
        limiter.level = limiter.capacity();
        limiter
    }

    /// Sets the fleet rate in orders per second and the number of live instances.
    pub fn set_share(&mut self, fleet_per_s: f64, live_instances: usize, now: MonotonicTime) {
        self.refill(now);
        self.per_s = fleet_per_s.max(0.0) / live_instances.max(1) as f64;
        self.level = self.level.min(self.capacity());
    }

    /// Takes one order from the rate; returns whether it may proceed.
    pub fn take(&mut self, now: MonotonicTime) -> bool {
        self.refill(now);
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }

    fn refill(&mut self, now: MonotonicTime) {
        let gained = now.since(self.filled).as_secs_f64() * self.per_s;
        self.level = (self.level + gained).min(self.capacity());
        self.filled = now;
    }

    /// Returns the burst; at least one order, or a small share would never admit any.
    fn capacity(&self) -> f64 {
        match self.per_s > 0.0 {
            true => (self.per_s * BURST_TIME.as_secs_f64()).max(1.0),
            false => 0.0,
        }
    }
}
