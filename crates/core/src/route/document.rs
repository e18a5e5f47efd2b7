//! Routes, customers and limits of one configuration version.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{
    base::{CustomerName, RegionName, ServiceName, TokenCount},
    notice::{ColdBound, ColdRule},
    route::{RouteRule, ServiceRecord},
};

/// A customer and its prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRecord {
    /// Also the name of the customer's budget.
    pub name: CustomerName,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Total tokens that the customer may use; `None` means unlimited.
    pub prepaid: Option<TokenCount>,
    /// Regions that the customer's requests are bound to; empty if they are not bound.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<RegionName>,
}

/// Size and time limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for receiving the head of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Result of a route lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteLookup<'a> {
    /// The route with the longest matching prefix.
    Found(&'a RouteRule),
    /// No route matches.
    Missing,
}

/// One configuration version, indexed for lookups by requests.
#[derive(Clone, Debug, Default)]
pub struct RouteDocument {
    /// Version number, which increases monotonically.
    pub version: u64,
    /// Limits for callers.
    pub limits: Option<RequestLimits>,
    /// Whether requests need a customer key.
    pub has_customers: bool,
    routes: HashMap<String, Vec<RouteRule>>,
    customers: Vec<CustomerRecord>,
    keys: HashMap<String, usize>,
    services: HashMap<ServiceName, ServiceRecord>,
}

impl RouteDocument {
    /// Creates a document without routes.
    #[must_use]
    pub fn new(version: u64) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route. Among the routes of a host, the longest matching prefix takes precedence.
    pub fn add_route(&mut self, rule: RouteRule) {
        let rules = self.routes.entry(rule.host.clone()).or_default();
        rules.push(rule);
        // Longest prefix first, so that the first match is the most specific.
        rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
    }

    /// Adds a customer that callers identify by any of `keys`.
    pub fn add_customer(&mut self, record: CustomerRecord, keys: impl IntoIterator<Item = String>) {
        let index = self.customers.len();
        self.customers.push(record);
        self.has_customers = true;
        self.keys.extend(keys.into_iter().map(|key| (key, index)));
    }

    /// Adds a service, or replaces the one with the same name.
    pub fn add_service(&mut self, record: ServiceRecord) {
        self.services.insert(record.name.clone(), record);
    }

    /// Returns the route for a host, with or without a port, and a path.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> RouteLookup<'_> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.routes.get(name) {
            Some(rules) => Some(rules),
            None => self.routes.get(&name.to_ascii_lowercase()),
        };
        let mut rules = rules.into_iter().flatten();
        match rules.find(|rule| path.starts_with(&rule.prefix)) {
            Some(rule) => RouteLookup::Found(rule),
            None => RouteLookup::Missing,
        }
    }

    /// Returns the customer to which a key belongs.
    #[must_use]
    pub fn find_customer(&self, key: &str) -> Option<&CustomerRecord> {
        self.keys.get(key).map(|index| &self.customers[*index])
    }

    /// Returns the service with this name, or `None` if the document has none.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// Returns all customers in the order in which they were added.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerRecord> {
        self.customers.iter()
    }

    /// Returns all customers with their keys in ascending order.
    pub(super) fn customers_with_keys(
        &self,
    ) -> impl Iterator<Item = (&CustomerRecord, Vec<String>)> {
        let mut keys: Vec<Vec<String>> = vec![Vec::new(); self.customers.len()];
        for (key, index) in &self.keys {
            keys[*index].push(key.clone());
        }
        keys.iter_mut().for_each(|keys| keys.sort_unstable());
        self.customers.iter().zip(keys)
    }

    /// Returns all routes; those of one host in the order of their precedence.
    pub(super) fn routes(&self) -> impl Iterator<Item = &RouteRule> {
        self.routes.values().flatten()
    }

    /// Returns all services.
    pub(super) fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.services.values()
    }

    /// Returns how the cold upstreams of each service are used within a bound.
    #[must_use]
    pub fn cold_rules(&self, bound: &ColdBound) -> HashMap<ServiceName, ColdRule> {
        let services = self.services.values().filter_map(|service| {
            let cold = service.cold?;
            let rate = cold.interval.as_secs_f64().recip();
            let rule = ColdRule {
                start: cold.duration,
                rate: bound.shared_rate(rate),
            };
            rate.is_finite().then(|| (service.name.clone(), rule))
        });
        services.collect()
    }

    /// Returns the number of routes of all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the limits for callers.
    #[must_use]
    pub fn limits(&self) -> RequestLimits {
        self.limits.unwrap_or_default()
    }
}
