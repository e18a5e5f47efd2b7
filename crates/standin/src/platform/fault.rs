//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// The injected faults; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rejects every call with status 503 without executing it.
    pub outage: bool,
    /// Refuses new connections and aborts the open ones, as in a network partition.
    pub unreachable: bool,
    /// The delay before every call is executed, in milliseconds.
    pub slow_ms: u64,
    /// The number of next writes that take effect but whose connection is aborted before the
    /// response.
    pub lost_answers: u32,
    /// The number of next writes whose connection is aborted and that take effect only on
    /// `release_held`.
    pub held_writes: u32,
    /// The delay before a change of the instance list becomes visible, in milliseconds.
    pub instance_lag_ms: u64,
}
