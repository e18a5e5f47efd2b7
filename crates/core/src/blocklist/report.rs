//! Messages, verdicts and dump entries of the crash table.

use serde::{Deserialize, Serialize};

use crate::{
    base::UpstreamName,
    blocklist::{Fingerprint, FlightKey},
};

/// Tells peers how often an upstream was lost while a request was in flight there.
///
/// Both counters only grow, and a receiver keeps the larger value of each. Reports may therefore
/// be repeated and reordered freely.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream that was lost.
    pub upstream: UpstreamName,
    /// Losses if positive; losses that an answer or an operator has cleared if negative.
    pub losses: i32,
}

/// Tells whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashVerdict {
    /// Nothing is known against the request.
    Clear,
    /// The request runs only on an upstream without another suspect; see
    /// [`CrashTable::excluded`](crate::blocklist::CrashTable::excluded).
    Suspect,
    /// The request is refused with `request_blocked`.
    Blocked,
}

/// Lists what the daemon does after an upstream was lost or a request was cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEffect {
    /// Sends the report to the peers of the domain.
    Report(CrashReport),
    /// Cancels a copy of a blocked request that is still running.
    Cancel(FlightKey),
}

/// Describes one fingerprint for the dump.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CrashEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it may run.
    pub verdict: CrashVerdict,
    /// Upstreams lost with this request in flight, with the number of losses not cleared.
    pub losses: Vec<(UpstreamName, u32)>,
    /// Seconds until the entry expires.
    pub expires_s: u64,
}
