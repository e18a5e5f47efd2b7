//! Gossiped state of one member.

use serde::{Deserialize, Serialize};

use crate::base::{DomainName, HolderId};

/// State of a member. At the same incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Responds to pings.
    Alive,
    /// Did not respond to direct and indirect pings; still counted as live.
    Suspect,
    /// Is shutting down; is not chosen as an owner any more.
    Leaving,
    /// Did not refute the suspicion in time.
    Dead,
}

impl MemberState {
    /// Returns whether a member in this state is routed to and can be chosen as an owner.
    #[must_use]
    pub fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Leaving | Self::Dead => false,
        }
    }
}

/// Record of one member, as exchanged with pings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process of the member.
    pub holder: HolderId,
    /// The failure domain.
    pub domain: DomainName,
    /// The address of port `peers`, as `IP:port`.
    pub address: String,
    /// The version of this record. Only the member itself increments it, to override records that
    /// others spread about it.
    pub incarnation: u64,
    /// Decides between records of equal `incarnation`; see [`overrides`](Self::overrides).
    pub state: MemberState,
}

/// Size of a record without its strings in thrift's compact protocol, in bytes, for the largest
/// epoch and incarnation.
const RECORD_BASE_BYTES: usize = 34;

impl MemberRecord {
    /// Returns an upper bound on the encoded size, in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        RECORD_BASE_BYTES + self.holder.instance.len() + self.domain.len() + self.address.len()
    }

    /// Returns whether this record replaces `other` about the same instance.
    ///
    /// Epochs are random, so they only break ties. A restarted process increments its incarnation
    /// beyond the one that its peers remember.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.incarnation, record.state, record.holder.epoch);
        rank(self) > rank(other)
    }
}
