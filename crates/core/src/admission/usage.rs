//! Load of customers, and usual time limits of routes.

use std::{collections::HashMap, time::Duration};

use crate::base::{CustomerName, MonotonicTime};

/// Maximum number of customers and of routes that are tracked.
const TRACKED_MAX: usize = 1_024;
/// Sum from which on a customer is tracked when there are too many.
const TRACKED_SUM_MIN: f64 = 1.0;
/// Fraction of the usual time limit below which a caller counts as short of time.
const SHORT_FRACTION: f64 = 0.95;
/// Fraction of the usual time limit that remains after a request that states a shorter one.
const LIMIT_DECAY: f64 = 0.999;

/// Sum of values that decay with their age.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    /// Time constant of the decay.
    window: Duration,
    sum: f64,
    at: MonotonicTime,
}

impl DecayingSum {
    pub(super) const fn new(window: Duration) -> Self {
        Self {
            window,
            sum: 0.0,
            at: MonotonicTime::START,
        }
    }

    pub(super) fn add(&mut self, value: f64, now: MonotonicTime) {
        self.sum = self.at(now) + value;
        self.at = now;
    }

    /// Returns the sum that remains.
    fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / self.window.as_secs_f64()).exp()
    }

    /// Returns the average of the last values per second.
    pub(super) fn per_second(&self, now: MonotonicTime) -> f64 {
        self.at(now) / self.window.as_secs_f64()
    }
}

/// Requests of customers over some time.
#[derive(Clone, Debug)]
pub(super) struct CustomerUsage {
    customers: HashMap<CustomerName, DecayingSum>,
    total: DecayingSum,
}

impl CustomerUsage {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            customers: HashMap::new(),
            total: DecayingSum::new(window),
        }
    }

    /// Records a request of a customer.
    pub(super) fn record(&mut self, customer: &CustomerName, now: MonotonicTime) {
        self.total.add(1.0, now);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.add(1.0, now);
            return;
        }
        if self.customers.len() >= TRACKED_MAX {
            self.customers
                .retain(|_, usage| usage.at(now) >= TRACKED_SUM_MIN);
        }
        if self.customers.len() < TRACKED_MAX {
            let mut usage = DecayingSum::new(self.total.window);
            usage.add(1.0, now);
            self.customers.insert(customer.clone(), usage);
        }
    }

    /// Returns the share of a customer in all requests, from 0 to 1.
    pub(super) fn share(&self, customer: &CustomerName, now: MonotonicTime) -> f64 {
        let own = self.customers.get(customer);
        let own = own.map_or(0.0, |usage| usage.at(now));
        own / self.total.at(now).max(f64::MIN_POSITIVE)
    }
}

/// Usual time limits that callers state, by route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteLimits {
    /// In seconds.
    limits: HashMap<String, f64>,
}

impl RouteLimits {
    /// Records the time limit of a request, and returns whether its caller is short of time compared
    /// with others of the route, as one is that was refused and has come back.
    pub(super) fn record(&mut self, route: &str, limit: Duration) -> bool {
        let limit_s = limit.as_secs_f64();
        if let Some(usual) = self.limits.get_mut(route) {
            let is_short = limit_s < *usual * SHORT_FRACTION;
            *usual = (*usual * LIMIT_DECAY).max(limit_s);
            return is_short;
        }
        if self.limits.len() >= TRACKED_MAX {
            self.limits.clear();
        }
        self.limits.insert(route.to_owned(), limit_s);
        false
    }
}
