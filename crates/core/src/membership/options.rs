//! Options of [`MemberTable`](super::MemberTable).

use std::time::Duration;

/// Options of [`MemberTable`](super::MemberTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOptions {
    /// The time between two pings to members of the local domain.
    pub domain_interval: Duration,
    /// The time between two pings to members of other domains.
    pub remote_interval: Duration,
    /// The time to wait for an ack before indirect pings are requested.
    pub ping_timeout: Duration,
    /// The additional time to wait for a relayed ack before the member is suspected.
    pub relay_timeout: Duration,
    /// The number of members that are asked to ping an unresponsive member.
    pub relays: usize,
    /// The time within which a suspected member can refute the suspicion.
    pub suspect_timeout: Duration,
    /// The time between two attempts to contact a seed, a listed instance or a dead member.
    pub contact_interval: Duration,
    /// The time between two such attempts while listed instances have not been contacted yet.
    pub burst_interval: Duration,
    /// The number of members that are notified when a newer configuration version becomes active on
    /// this instance.
    pub version_notices: usize,
    /// The time after which a member is expected to know all other members.
    pub settle_time: Duration,
    /// The time after its start during which an instance requests full tables every
    /// `join_interval`.
    pub join_time: Duration,
    /// The time between two full table requests during `join_time`.
    pub join_interval: Duration,
    /// The time between two full table requests afterwards, which repair lost gossip.
    pub sync_interval: Duration,
    /// The minimum time between two responses with the full table. Without it, the few seeds that
    /// every instance knows would saturate their links with the same records when a whole fleet
    /// starts.
    pub min_sync_reply_interval: Duration,
    /// The time for which a dead member is kept, so that stale gossip does not revive it.
    pub dead_retention: Duration,
    /// The maximum number of records in a ping or an ack.
    pub max_updates: usize,
    /// The maximum size of one message, in bytes.
    pub max_bytes: usize,
}

impl Default for MemberOptions {
    fn default() -> Self {
        Self {
            domain_interval: Duration::from_secs(1),
            remote_interval: Duration::from_secs(3),
            ping_timeout: Duration::from_millis(500),
            relay_timeout: Duration::from_millis(500),
            relays: 3,
            suspect_timeout: Duration::from_secs(5),
            contact_interval: Duration::from_secs(5),
            burst_interval: Duration::from_millis(200),
            version_notices: 6,
            settle_time: Duration::from_secs(60),
            join_time: Duration::from_secs(10),
            join_interval: Duration::from_millis(250),
            sync_interval: Duration::from_secs(30),
            min_sync_reply_interval: Duration::from_millis(20),
            dead_retention: Duration::from_secs(86_400),
            max_updates: 8,
            max_bytes: 600,
        }
    }
}
