//! What the fleet knows about one member.

use serde::{Deserialize, Serialize};

use crate::base::{DomainName, HolderId};

/// Lists the states of a member, in the order in which they override each other at the same
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer; still counted as live.
    Suspect,
    /// Is being stopped; gets no new role.
    Leaving,
    /// Did not refute the suspicion in time.
    Dead,
}

impl MemberState {
    /// Returns whether a member in this state gets roles.
    #[must_use]
    pub fn is_live(self) -> bool {
        match self {
            Self::Alive | Self::Suspect => true,
            Self::Leaving | Self::Dead => false,
        }
    }
}

/// Describes one member as it travels with pings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process.
    pub holder: HolderId,
    /// The failure domain.
    pub domain: DomainName,
    /// The address of port `peers` as `IP:port`.
    pub address: String,
    /// The number by which the member itself overrides what others say about it.
    pub incarnation: u64,
    /// The state.
    pub state: MemberState,
}

/// Size of a record without its texts in thrift's compact protocol, in bytes, at the largest epoch
/// and incarnation.
const RECORD_BYTES: usize = 34;

impl MemberRecord {
    /// Returns an upper bound of the encoded size, in bytes.
    #[must_use]
    pub fn encoded_bytes(&self) -> usize {
        RECORD_BYTES + self.holder.instance.len() + self.domain.len() + self.address.len()
    }

    /// Returns whether this record replaces `other` about the same instance.
    ///
    /// Epochs are random, so they only break ties: a restarted process raises its incarnation
    /// above the one that its peers remember.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        let rank = |record: &Self| (record.incarnation, record.state, record.holder.epoch);
        rank(self) > rank(other)
    }
}
