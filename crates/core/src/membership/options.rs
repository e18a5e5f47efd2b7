//! Options of a member table.

use std::time::Duration;

/// Holds the options of a [`MemberTable`](super::MemberTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberOptions {
    /// The time between two pings to members of the own domain.
    pub domain_interval: Duration,
    /// The time between two pings to members of other domains.
    pub remote_interval: Duration,
    /// The wait for an ack before others are asked to ping.
    pub ping_timeout: Duration,
    /// The further wait for a relayed ack before the member is suspected.
    pub relay_timeout: Duration,
    /// The number of members that are asked to ping.
    pub relays: usize,
    /// The time in which a suspected member can refute.
    pub suspect_timeout: Duration,
    /// The time between two contacts with seeds, listed instances or dead members.
    pub contact_interval: Duration,
    /// The time between two contacts while addresses wait that were never contacted.
    pub burst_interval: Duration,
    /// The time after which a member is expected to know the others.
    pub settle_time: Duration,
    /// The time after the start in which an instance asks for all members in quick succession.
    pub join_time: Duration,
    /// The time between two requests for all members within `join_time`.
    pub join_interval: Duration,
    /// The time between two requests for all members afterwards, in case news were missed.
    pub sync_interval: Duration,
    /// The least time between two answers with all members. When a whole fleet starts, the few
    /// instances that everyone knows would otherwise fill their links with the same records.
    pub sync_gap: Duration,
    /// The time for which a dead member is remembered, so that old news does not revive it.
    pub dead_retention: Duration,
    /// The largest number of records in one message.
    pub max_updates: usize,
    /// The largest size of one message, in bytes.
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
            settle_time: Duration::from_secs(60),
            join_time: Duration::from_secs(10),
            join_interval: Duration::from_millis(250),
            sync_interval: Duration::from_secs(30),
            sync_gap: Duration::from_millis(20),
            dead_retention: Duration::from_secs(86_400),
            max_updates: 8,
            max_bytes: 600,
        }
    }
}
