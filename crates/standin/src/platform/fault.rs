//! Faults of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Describes the faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Answers every call with 503 and carries none out.
    pub outage: bool,
    /// Refuses connections and cuts the open ones, as a network partition does.
    pub unreachable: bool,
    /// Delays every call before it is carried out, in milliseconds.
    pub slow_ms: u64,
    /// The number of next writes that take effect but whose connection is cut before the answer.
    pub lost_answers: u32,
    /// The number of next writes whose connection is cut and that wait for `release_held`.
    pub held_writes: u32,
    /// The delay before a change of the instance list becomes visible, in milliseconds.
    pub instance_lag_ms: u64,
}
