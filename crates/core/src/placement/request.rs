//! Inputs and results of the placement table.

use std::{net::SocketAddr, time::Duration};

use snafu::Snafu;

use crate::{
    base::{DomainName, ServiceName, UpstreamName},
    placement::PlacementKey,
};

/// An upstream as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRecord {
    /// Unique name of this incarnation.
    pub name: UpstreamName,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain in which the upstream runs.
    pub domain: DomainName,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is shutting down and accepts no new requests.
    pub is_leaving: bool,
    /// Start time in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

impl UpstreamRecord {
    /// Returns what tells the runs of the upstream's process apart.
    #[must_use]
    pub const fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation {
            address: self.address,
            started_unix_ms: self.started_unix_ms,
        }
    }
}

/// Tells apart the runs of an upstream that restarts under the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct UpstreamIncarnation {
    /// Address for requests.
    pub address: SocketAddr,
    /// Start time in Unix milliseconds, if known.
    pub started_unix_ms: Option<u64>,
}

/// The limit of an upstream, for the instances that share it.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitReport {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Incarnation that the report is about.
    pub incarnation: UpstreamIncarnation,
    /// Requests a second that it takes from all instances together; `None` if it does not limit them
    /// any more.
    pub rate: Option<f64>,
}

/// What a response has changed in what is known about its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct NoticeNews {
    /// Report for the peers, if the limit of the upstream is news.
    pub limit: Option<LimitReport>,
}

/// A consecutive part of a prompt that an engine may have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PromptPart {
    /// Digest by which equal parts of different requests are recognised.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Token counts of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub answer_tokens: u64,
    /// Parts of the prompt in order; the last is specific to the request or its session.
    pub parts: Vec<PromptPart>,
}

impl RequestSize {
    /// Returns the maximum number of tokens that the request may use.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}

/// Returns the parts of a prompt that it may share with other requests.
#[must_use]
pub fn shared_parts(size: &RequestSize) -> &[PromptPart] {
    size.parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// A request to be placed on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service whose upstreams are the candidates.
    pub service: &'a ServiceName,
    /// Upstreams already tried.
    pub excluded: &'a [PlacementKey],
    /// Size of the request; empty for plain services.
    pub size: &'a RequestSize,
    /// Memory of one engine in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Maximum acceptable time to the first token or the answer.
    pub latency_limit: Duration,
}

/// The chosen upstream and its prediction.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key in the table.
    pub key: PlacementKey,
    /// Name that is sent with the request as that of the expected upstream.
    pub upstream: UpstreamName,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Predicted time to the first token or the answer.
    pub expected: Duration,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: u64,
}

/// Reason why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum PlacementRefusal {
    /// No upstream of the service is usable.
    #[snafu(display("no upstream is listed"))]
    NoUpstream,
    /// Every usable upstream would exceed the latency limit or lacks memory.
    #[snafu(display("the fastest upstream would exceed the latency limit by {} ms", retry_after.as_millis()))]
    Overloaded {
        /// Predicted time until the queue is short enough.
        retry_after: Duration,
    },
    /// Every listed upstream pauses, or has got its limit of requests.
    #[snafu(display("every upstream pauses or has got its limit of requests, for {} ms", retry_after.as_millis()))]
    Withheld {
        /// Time until a request may be sent to one of them.
        retry_after: Duration,
    },
    /// The request exceeds the memory of an engine.
    #[snafu(display("the request exceeds the memory of an engine"))]
    TooLarge,
}

/// Outcome of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlightOutcome {
    /// The upstream answered successfully.
    Answered,
    /// The upstream answered with an error.
    Failed,
    /// The upstream rejected the request without executing it.
    Refused,
    /// No connection could be opened.
    NotReached,
    /// Nothing was sent, because the upstream accepts no requests any more.
    NotSent,
    /// The connection broke, or the answer was unusable.
    Lost,
    /// No answer came within the time limit.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

impl FlightOutcome {
    /// Returns whether the upstream did not answer, so that other instances would fail there too.
    #[must_use]
    pub const fn is_outage(self) -> bool {
        matches!(self, Self::NotReached | Self::Lost | Self::TimedOut)
    }
}
