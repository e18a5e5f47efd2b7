//! Inputs and results of the upstream table.

use std::{fmt, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use crate::{
    base::{DomainName, ModelName, ServiceName, UpstreamName},
    error::ErrorKind,
    routing::UpstreamKey,
};

/// Concurrency of an upstream if the document specifies none.
const DEFAULT_CONCURRENCY: u32 = 64;

/// Type of server that an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// An instance of a plain service.
    Service,
}

/// Configuration of one upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSpec {
    /// Unique name.
    pub name: UpstreamName,
    /// Failure domain in which the upstream runs.
    pub domain: DomainName,
    /// Engine or service.
    pub kind: UpstreamKind,
    /// Models that an engine serves.
    pub models: Vec<ModelName>,
    /// Service of which this is an instance.
    pub service: Option<ServiceName>,
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Whether the document marks the upstream as leaving.
    pub leaving: bool,
}

impl UpstreamSpec {
    /// Returns the models and the service that the upstream serves.
    pub fn targets(&self) -> impl Iterator<Item = RouteTarget> + '_ {
        let models = self.models.iter().cloned().map(RouteTarget::Model);
        models.chain(self.service.clone().map(RouteTarget::Service))
    }

    /// Creates the configuration of an engine with the default concurrency.
    #[must_use]
    pub fn engine(name: UpstreamName, domain: DomainName, models: Vec<ModelName>) -> Self {
        Self {
            name,
            domain,
            kind: UpstreamKind::Engine,
            models,
            service: None,
            concurrency: DEFAULT_CONCURRENCY,
            leaving: false,
        }
    }

    /// Creates the configuration of a service instance with the default concurrency.
    #[must_use]
    pub fn service(name: UpstreamName, domain: DomainName, service: ServiceName) -> Self {
        Self {
            name,
            domain,
            kind: UpstreamKind::Service,
            models: Vec::new(),
            service: Some(service),
            concurrency: DEFAULT_CONCURRENCY,
            leaving: false,
        }
    }
}

/// The model or service that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// Engines of a model.
    Model(ModelName),
    /// Instances of a service.
    Service(ServiceName),
}

impl fmt::Display for RouteTarget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model(model) => write!(formatter, "model {model}"),
            Self::Service(service) => write!(formatter, "service {service}"),
        }
    }
}

/// The prefix of a prompt that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PrefixHint {
    /// Digest of the prefix.
    pub digest: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// A request to be routed to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRequest {
    /// Model or service.
    pub target: RouteTarget,
    /// Upstreams that the customer may use; `None` allows all.
    pub allowed: Option<Arc<[UpstreamName]>>,
    /// Upstreams already tried, or closed to a request suspected of crashing upstreams.
    pub excluded: Vec<UpstreamName>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the answer in tokens.
    pub answer_tokens: u32,
    /// Cacheable prefix of the prompt.
    pub prefix: Option<PrefixHint>,
}

impl RouteRequest {
    /// Creates a request that may use every upstream of `target`.
    #[must_use]
    pub const fn new(target: RouteTarget) -> Self {
        Self {
            target,
            allowed: None,
            excluded: Vec::new(),
            prompt_tokens: 0,
            answer_tokens: 0,
            prefix: None,
        }
    }
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// Key in the table.
    pub key: UpstreamKey,
    /// [`UpstreamSpec::name`] of the chosen upstream.
    pub upstream: UpstreamName,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Expected time to first token.
    pub expected: Duration,
}

/// Reason why no upstream was chosen.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SelectError {
    /// No upstream is configured for the target.
    #[snafu(display("no upstream is configured for {target}"))]
    UnknownTarget {
        /// The model or service.
        target: RouteTarget,
    },
    /// Every upstream is leaving, ejected, not allowed, already tried, or pauses.
    #[snafu(display("no upstream of {target} is usable"))]
    Unusable {
        /// The model or service.
        target: RouteTarget,
        /// Time until an ejected or pausing upstream is used again, if there is one.
        retry_after: Option<Duration>,
    },
    /// Every usable upstream is at its limit; the request may wait in the admission queue.
    #[snafu(display("every usable upstream of {target} is at its limit"))]
    Full {
        /// The model or service.
        target: RouteTarget,
    },
}

impl SelectError {
    /// Returns the error for the caller.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::UnknownTarget { .. } | Self::Unusable { .. } => ErrorKind::NoUpstream,
            Self::Full { .. } => ErrorKind::Overloaded,
        }
    }
}

/// Load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests of all routers that the upstream is executing.
    pub running: u32,
    /// Requests of all routers that wait at the upstream.
    pub queued: u32,
    /// Time since the report was taken.
    pub age: Duration,
    /// Whether the upstream reports that it is leaving.
    pub leaving: bool,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CacheEvent {
    /// A prefix was stored.
    Stored(u64),
    /// A prefix was evicted.
    Evicted(u64),
    /// The cache was cleared, or events were missed.
    Cleared,
}

/// State of an upstream in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The upstream is live.
    Live,
    /// The upstream is leaving.
    Leaving,
}
