//! One route and one service of a document.

use std::time::Duration;

use crate::base::ServiceName;

/// Tells how often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
    /// The answer is a stream of events; the request runs at most once, except that a resumable
    /// stream may be continued by another run.
    Streaming {
        /// Whether another run may continue after the last delivered event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again from its start.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Streaming { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// Names a service that gets a part of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitTarget {
    /// The service.
    pub service: ServiceName,
    /// The part of the requests relative to the weights of the other targets.
    pub weight: u32,
}

/// Describes the requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix of the path, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The time within which a response should begin.
    pub objective: Duration,
    /// Upstreams to which one request may be sent.
    pub attempts: u32,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// The services that answer, never empty.
    pub targets: Vec<SplitTarget>,
    /// Whether requests need no customer key.
    pub is_public: bool,
}

impl RouteRule {
    /// Returns the service for a request, by a number that is spread evenly over all `u64`.
    #[must_use]
    pub fn pick_service(&self, spread: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = spread % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(&target.service);
            }
            point -= weight;
        }
        None
    }
}

/// Describes a service of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRecord {
    /// The service.
    pub name: ServiceName,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// Tokens that fit into the memory of one engine; 0 for plain services.
    pub memory_tokens: u64,
    /// Tokens that one event of a stream holds at most.
    pub event_tokens: u64,
}
