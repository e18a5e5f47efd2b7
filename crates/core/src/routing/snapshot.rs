//! State of the upstream table for the dump.

use serde::Serialize;

use crate::base::{DomainName, UpstreamName};

/// Tells whether an upstream is used, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum UseState {
    /// The upstream receives work.
    Used,
    /// The upstream receives less work because it is new or has returned.
    SlowStart,
    /// The upstream is at its limit.
    Full,
    /// The upstream is ejected because of failures.
    Ejected {
        /// Milliseconds until it is tried again.
        remaining_ms: u64,
    },
    /// The upstream is leaving.
    Leaving,
    /// The upstream is no longer in the document, and finishes its work.
    Removed,
}

/// Describes one upstream for the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamSnapshot {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Failure domain.
    pub domain: DomainName,
    /// Whether it is used, and if not, why.
    pub use_state: UseState,
    /// Own requests in flight.
    pub own: u32,
    /// Estimated requests of all routers.
    pub estimated_load: f64,
    /// Age of the load report in milliseconds.
    pub report_age_ms: Option<u64>,
    /// Limit of requests in flight.
    pub limit: u32,
    /// Learnt time to first token of an unqueued prompt of 500 tokens, in milliseconds.
    pub first_token_ms: Option<f64>,
    /// Learnt duration of an answer in milliseconds.
    pub duration_ms: Option<f64>,
    /// Failures in a row.
    pub failures_in_a_row: u32,
    /// Failure rate between 0 and 1.
    pub failure_rate: f64,
}

/// Describes the upstream table for the dump.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableSnapshot {
    /// Upstreams in order of their names.
    pub upstreams: Vec<UpstreamSnapshot>,
    /// Own requests in flight.
    pub in_flight: usize,
}
