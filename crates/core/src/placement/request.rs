//! Inputs and results of the placement table.

use std::{net::SocketAddr, time::Duration};

use snafu::Snafu;

use crate::{
    base::{DomainName, ServiceName, UpstreamName},
    placement::PlacementKey,
};

/// Describes one upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Unique name of this incarnation.
    pub name: UpstreamName,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub domain: DomainName,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Whether it is being shut down and gets no new request.
    pub is_leaving: bool,
    /// Unix time of its start in milliseconds, if it is known.
    pub started_unix_ms: Option<u64>,
}

/// Names a part of a prompt that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Digest of the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Describes the size of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Largest number of tokens of the answer.
    pub answer_tokens: u64,
    /// Parts of the prompt in order; the last belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
}

impl RequestSize {
    /// Returns the largest number of tokens that the request may use.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// Describes a request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Upstreams that were already tried.
    pub excluded: &'a [PlacementKey],
    /// Size of the request; empty for plain services.
    pub size: &'a RequestSize,
    /// Tokens that fit into one engine; 0 for plain services.
    pub memory_tokens: u64,
    /// Longest useful time to the first token or the answer.
    pub latency_limit: Duration,
}

/// Names the chosen upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key in the table.
    pub key: PlacementKey,
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Predicted time to the first token or the answer.
    pub expected: Duration,
    /// Prompt tokens that have to be read.
    pub uncached_tokens: u64,
}

/// Reports why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlacementRefusal {
    /// No upstream of the service is usable.
    #[snafu(display("no upstream is listed"))]
    NoUpstream,
    /// Every usable upstream would answer too late or lacks memory.
    #[snafu(display("the best one is {} ms too late", retry_after.as_millis()))]
    Overloaded {
        /// Time after which the queue will have become short enough.
        retry_after: Duration,
    },
    /// The request does not fit into the memory of an engine.
    #[snafu(display("the request exceeds the memory of an engine"))]
    TooLarge,
}

/// Tells how a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlightOutcome {
    /// The upstream answered as it should.
    Answered,
    /// The upstream answered with an error of its own.
    Failed,
    /// The upstream refused the request without running it.
    Refused,
    /// No connection could be opened.
    NotReached,
    /// The connection broke, or the answer was unusable.
    Lost,
    /// No answer came within the time limit.
    TimedOut,
    /// The caller left.
    Cancelled,
}
