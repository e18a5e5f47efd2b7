//! Retry budgets per customer and per upstream group.

use std::collections::HashMap;

use crate::{base::CustomerName, routing::RouteTarget};

/// Share of a retry that each first attempt earns.
const DEFAULT_RATIO: f64 = 0.1;
/// Retries that may be saved up by one customer.
const DEFAULT_CUSTOMER_BURST: f64 = 10.0;
/// Retries that may be saved up by one upstream group.
const DEFAULT_GROUP_BURST: f64 = 50.0;
/// Retries that a new bucket holds, so that the first request of a customer may be retried.
const DEFAULT_INITIAL: f64 = 1.0;

/// Configures [`RetryBudget`].
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetOptions {
    /// Retries earned by each first attempt.
    pub ratio: f64,
    /// Largest number of saved retries per customer.
    pub customer_burst: f64,
    /// Largest number of saved retries per upstream group.
    pub group_burst: f64,
    /// Retries that a new bucket holds.
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

/// Limits retries to a share of first attempts.
///
/// A retry takes one token from the bucket of the customer and one from the bucket of the
/// upstream group. Buckets are filled by first attempts only and not by time, so an outage that
/// fails every request cannot raise the load by more than the ratio.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    customers: HashMap<CustomerName, f64>,
    groups: HashMap<RouteTarget, f64>,
}

impl RetryBudget {
    /// Creates a budget without history.
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
        let saved = match self.customers.get_mut(customer) {
            Some(saved) => saved,
            None => self
                .customers
                .entry(customer.clone())
                .or_insert(options.initial),
        };
        *saved = (*saved + options.ratio).min(options.customer_burst);
        let saved = match self.groups.get_mut(group) {
            Some(saved) => saved,
            None => self.groups.entry(group.clone()).or_insert(options.initial),
        };
        *saved = (*saved + options.ratio).min(options.group_burst);
    }

    /// Takes one retry from both buckets and returns whether it is allowed.
    pub fn try_retry(&mut self, customer: &CustomerName, group: &RouteTarget) -> bool {
        let (Some(own), Some(shared)) =
            (self.customers.get_mut(customer), self.groups.get_mut(group))
        else {
            return false;
        };
        if *own < 1.0 || *shared < 1.0 {
            return false;
        }
        *own -= 1.0;
        *shared -= 1.0;
        true
    }

    /// Removes the buckets of customers that `keep` rejects.
    pub fn retain_customers(&mut self, keep: impl Fn(&CustomerName) -> bool) {
        self.customers.retain(|customer, _| keep(customer));
    }
}
