//! Peer reports, verdicts and dump entries of the crash table.

use serde::{Deserialize, Serialize};

use crate::{
    base::UpstreamName,
    blocklist::{Fingerprint, FlightKey},
};

/// Report to peers of how often an upstream was lost while a request was in flight there.
///
/// Both counters only grow, and a receiver keeps the larger value of each, so reports may be
/// repeated and reordered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashReport {
    /// Stands for all equal requests of one customer.
    pub fingerprint: Fingerprint,
    /// The upstream that was lost.
    pub upstream: UpstreamName,
    /// The number of charged losses if positive; the number of losses cleared by an answer or an
    /// operator if negative.
    pub losses: i32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashVerdict {
    /// No uncleared loss is charged to the request.
    Clear,
    /// The request may run only on an upstream without another suspect; see
    /// [`CrashTable::excluded`](crate::blocklist::CrashTable::excluded).
    Suspect,
    /// The request is refused with `request_blocked`.
    Blocked,
}

/// Action of the daemon after an upstream was lost or a request was cleared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEffect {
    /// Sends the report to the peers of the domain.
    Report(CrashReport),
    /// Cancels an attempt of a blocked request that is still in flight.
    Cancel(FlightKey),
}

/// Dump entry of one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CrashEntry {
    /// Stands for all equal requests of one customer.
    pub fingerprint: Fingerprint,
    /// Whether the request may run.
    pub verdict: CrashVerdict,
    /// Upstreams lost with this request in flight, with their numbers of uncleared losses.
    pub losses: Vec<(UpstreamName, u32)>,
    /// Seconds until the entry expires.
    pub expires_s: u64,
}
