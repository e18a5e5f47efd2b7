//! Usual load of customers, and the usual time limits of routes.

use std::{collections::HashMap, time::Duration};

use crate::base::{CustomerName, MonotonicTime};

/// Maximum number of customers and of routes that are tracked.
const TRACKED_MAX: usize = 1_024;
/// Fraction of the usual time limit below which a caller counts as short of time.
const SHORT_FRACTION: f64 = 0.95;
/// Fraction of the usual time limit that remains after a request that states a shorter one.
const LIMIT_DECAY: f64 = 0.999;

/// Decaying sum of the cost of a customer's requests.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    cost: f64,
    at: MonotonicTime,
}

impl DecayingSum {
    fn at(&self, window: Duration, now: MonotonicTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.cost * (-age / window.as_secs_f64()).exp()
    }

    fn add(&mut self, cost: u64, window: Duration, now: MonotonicTime) {
        self.cost = self.at(window, now) + cost as f64;
        self.at = now;
    }
}

/// Load of customers over some time.
#[derive(Clone, Debug)]
pub(super) struct CustomerUsage {
    window: Duration,
    loads: HashMap<CustomerName, DecayingSum>,
    total: DecayingSum,
}

impl CustomerUsage {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            loads: HashMap::new(),
            total: DecayingSum::default(),
        }
    }

    pub(super) fn record(&mut self, customer: &CustomerName, cost: u64, now: MonotonicTime) {
        let window = self.window;
        self.total.add(cost, window, now);
        if let Some(load) = self.loads.get_mut(customer) {
            load.add(cost, window, now);
            return;
        }
        if self.loads.len() >= TRACKED_MAX {
            self.loads.retain(|_, load| load.at(window, now) >= 1.0);
        }
        if self.loads.len() < TRACKED_MAX {
            let mut load = DecayingSum::default();
            load.add(cost, window, now);
            self.loads.insert(customer.clone(), load);
        }
    }

    /// Returns the share of a customer in the load, from 0 to 1.
    pub(super) fn share(&self, customer: &CustomerName, now: MonotonicTime) -> f64 {
        let own = self.loads.get(customer);
        let own = own.map_or(0.0, |load| load.at(self.window, now));
        own / self.total.at(self.window, now).max(f64::MIN_POSITIVE)
    }
}

/// Usual time limits that callers state, by route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteLimits {
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
