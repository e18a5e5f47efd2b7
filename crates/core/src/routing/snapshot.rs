//! Snapshot of the upstream table for the state dump.

use serde::Serialize;

use crate::base::{DomainName, UpstreamName};

/// Whether an upstream can be selected, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum UseState {
    /// The upstream receives requests.
    Used,
    /// The upstream is new or has recovered, and receives fewer requests.
    SlowStart,
    /// The upstream is at its concurrency limit.
    Full,
    /// The upstream is ejected because of failures.
    Ejected {
        /// Milliseconds until it is tried again.
        remaining_ms: u64,
    },
    /// The upstream refused a request and asked for a pause.
    Paused {
        /// Milliseconds until it accepts requests again.
        remaining_ms: u64,
    },
    /// The upstream is leaving.
    Leaving,
    /// The upstream is no longer configured, and finishes its requests in flight.
    Removed,
}

/// State of one upstream in the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamSnapshot {
    /// [`UpstreamSpec::name`](crate::routing::UpstreamSpec::name) of the upstream.
    pub name: UpstreamName,
    /// Failure domain in which the upstream runs.
    pub domain: DomainName,
    /// Whether the upstream can be selected, and if not, why.
    pub use_state: UseState,
    /// Requests of this router in flight.
    pub own: u32,
    /// Estimated number of requests of all routers.
    pub estimated_load: f64,
    /// Age of the load report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Current value of the adaptive concurrency limit, in requests.
    pub limit: u32,
    /// Estimated time to first token of a prompt of 500 tokens without queueing, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Average duration of an answer in milliseconds.
    pub duration_ms: Option<f64>,
    /// Consecutive failures.
    pub failures_in_a_row: u32,
    /// Failure rate between 0 and 1.
    pub failure_rate: f64,
}

/// State of the upstream table in the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableSnapshot {
    /// Upstreams, sorted by name.
    pub upstreams: Vec<UpstreamSnapshot>,
    /// Attempts of this router in flight.
    pub in_flight: usize,
}
