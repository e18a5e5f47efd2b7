//! Routes and services of a document.

use std::{collections::BTreeSet, time::Duration};

use serde::{Deserialize, Serialize};

use crate::base::{RegionName, ServiceName};

/// Execution semantics of the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// A request may be executed any number of times.
    Idempotent,
    /// A request is executed at most once.
    AtMostOnce,
    /// The answer is a stream of events. The request is executed at most once, except that another
    /// execution may continue a resumable stream.
    Streaming {
        /// Whether another execution may continue after the last delivered event.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have been executed may be sent again from its start.
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

/// A service that receives a fraction of the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitTarget {
    /// Refers to [`ServiceRecord::name`].
    pub service: ServiceName,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A route for the requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Execution semantics of the requests.
    pub kind: RouteKind,
    /// Time limit of a request.
    pub timeout: Duration,
    /// Latency objective: the time within which a response should begin.
    pub objective: Duration,
    /// Maximum number of upstreams to which one request may be sent.
    pub attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Services that answer the requests; never empty.
    pub targets: Vec<SplitTarget>,
    /// Whether requests are accepted without a customer key.
    pub is_public: bool,
    /// Regions that the requests are bound to; empty if they are not bound.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub homes: BTreeSet<RegionName>,
}

impl RouteRule {
    /// Returns the service for a request, chosen by weight. `random` must be uniformly distributed
    /// over all `u64` values.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut point = random % total;
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

/// A service of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Unique within a document.
    pub name: ServiceName,
    /// Whether its upstreams are model engines.
    pub is_engine: bool,
    /// Memory of one engine in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
    /// What its upstreams bear after their start; `None` if they need no care.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

/// What an upstream bears after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which the upstream is cold.
    pub duration: Duration,
    /// Mean time between the requests that it bears while it is cold.
    pub interval: Duration,
}
