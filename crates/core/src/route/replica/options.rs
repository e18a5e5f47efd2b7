//! Options of [`DocumentReplica`](super::DocumentReplica).

use std::time::Duration;

/// Options of [`DocumentReplica`](super::DocumentReplica).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaOptions {
    /// The time for which the platform may still deliver a version that a peer has announced.
    pub delay: Duration,
    /// The time after which an unanswered request is sent again. It doubles up to `retry_max`.
    pub retry_min: Duration,
    /// The longest time after which an unanswered request is sent again. Retries on a full link
    /// must not add to its load.
    pub retry_max: Duration,
    /// The number of peers that are asked when a request is sent again: a full link loses many
    /// datagrams. One of them is also asked over a connection.
    pub retry_peers: usize,
    /// The maximum number of peers remembered as having the newest version.
    pub sources: usize,
}

impl Default for ReplicaOptions {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(200),
            retry_min: Duration::from_millis(250),
            retry_max: Duration::from_millis(1_600),
            retry_peers: 3,
            sources: 8,
        }
    }
}
