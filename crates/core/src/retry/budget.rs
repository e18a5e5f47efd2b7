//! Retry budgets per customer and per upstream group.

use std::collections::HashMap;

use crate::{base::CustomerName, routing::RouteTarget};

/// Default number of retries earned by each first attempt.
const DEFAULT_RATIO: f64 = 0.1;
/// Default bucket size of a customer, in retries.
const DEFAULT_CUSTOMER_BURST: f64 = 10.0;
/// Default bucket size of an upstream group, in retries.
const DEFAULT_GROUP_BURST: f64 = 50.0;
/// Default fill of a new bucket, which allows a retry of the first request of a customer.
const DEFAULT_INITIAL: f64 = 1.0;

/// Bucket sizes and refill rate of a [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Number of retries earned by each first attempt.
    pub ratio: f64,
    /// Bucket size of a customer, in retries.
    pub customer_burst: f64,
    /// Bucket size of an upstream group, in retries.
    pub group_burst: f64,
    /// Initial fill of a new bucket, in retries.
    pub initial: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self {
            ratio: DEFAULT_RATIO,
            customer_burst: DEFAULT_CUSTOMER_BURST,
            group_burst: DEFAULT_GROUP_BURST,
            initial: DEFAULT_INITIAL,
        }
    }
}

/// Limits retries to a fraction of the first attempts.
///
/// A retry takes one token from the bucket of the customer and one from the bucket of the upstream
/// group. Buckets are refilled by first attempts only, not over time, so an outage in which every
/// request fails cannot increase the load by more than the ratio.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    customers: HashMap<CustomerName, f64>,
    groups: HashMap<RouteTarget, f64>,
}

impl RetryBudget {
    /// Creates a budget without buckets.
    #[must_use]
    pub fn new(options: RetryBudgetOptions) -> Self {
        Self {
            options,
            customers: HashMap::new(),
            groups: HashMap::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self, customer: &CustomerName, group: &RouteTarget) {
        let options = &self.options;
        let tokens = match self.customers.get_mut(customer) {
            Some(tokens) => tokens,
            None => self
                .customers
                .entry(customer.clone())
                .or_insert(options.initial),
        };
        *tokens = (*tokens + options.ratio).min(options.customer_burst);
        let tokens = match self.groups.get_mut(group) {
            Some(tokens) => tokens,
            None => self.groups.entry(group.clone()).or_insert(options.initial),
        };
        *tokens = (*tokens + options.ratio).min(options.group_burst);
    }

    /// Takes one token from both buckets. Returns whether the retry is allowed.
    pub fn try_retry(&mut self, customer: &CustomerName, group: &RouteTarget) -> bool {
        let (Some(customer_tokens), Some(group_tokens)) =
            (self.customers.get_mut(customer), self.groups.get_mut(group))
        else {
            return false;
        };
        if *customer_tokens < 1.0 || *group_tokens < 1.0 {
            return false;
        }
        *customer_tokens -= 1.0;
        *group_tokens -= 1.0;
        true
    }

    /// Removes the buckets of customers that `keep` rejects.
    pub fn retain_customers(&mut self, keep: impl Fn(&CustomerName) -> bool) {
        self.customers.retain(|customer, _| keep(customer));
    }
}
