//! Events, effects and messages of [`MemberTable`](super::MemberTable).

use serde::{Deserialize, Serialize};

use crate::{
    base::{DomainName, HolderId, InstanceName},
    membership::{MemberRecord, MemberState},
};

/// Payload of pings and acks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingBody {
    /// Matches an ack to its ping.
    pub nonce: u64,
    /// The member that sends the ping or the ack. A relayed ack carries the record of the ping
    /// target, while the message itself comes from the relay.
    pub sender: MemberRecord,
    /// The configuration version that is active at `sender`; 0 if there is none.
    pub config_version: u64,
    /// The load of `sender`, in thousandths of its capacity.
    pub load_permille: u32,
    /// Gossip: records of other members.
    pub updates: Vec<MemberRecord>,
}

/// Message between the member tables of two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Checks that the receiver is alive.
    Ping(PingBody),
    /// Answers a ping.
    Ack(PingBody),
    /// Asks the receiver to ping `target` and to relay the ack (an indirect probe).
    PingRequest {
        /// Matches the relayed ack to the request.
        nonce: u64,
        /// The member to ping.
        target: HolderId,
    },
    /// Requests all live members, unless the receiver has the same digest.
    TableRequest {
        /// The member to which the chunks are sent.
        sender: MemberRecord,
        /// The digest of the live members known to `sender`.
        digest: u64,
    },
    /// Part of the response to a `TableRequest`.
    TableChunk {
        /// Records of the sender and of other members.
        records: Vec<MemberRecord>,
    },
    /// Announces that the sender is shutting down.
    Leaving {
        /// The incarnation of the sender as of which it is leaving.
        incarnation: u64,
    },
    /// Announces that a newer configuration version became active at the sender.
    VersionNotice {
        /// The version.
        config_version: u64,
    },
}

/// Entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceHint {
    /// The configured name; the list does not contain the epoch of the process.
    pub instance: InstanceName,
    /// The address of port `peers`, as `IP:port`.
    pub address: String,
}

/// Input of a [`MemberTable`](super::MemberTable).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Drives the timers; must be sent at least every 100 ms.
    Tick,
    /// A message arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// The content that the sender emitted in [`MemberEffect::Send`].
        message: MemberMessage,
    },
    /// The platform's instance list was read.
    InstanceList(Vec<InstanceHint>),
    /// Another configuration version became active on this instance.
    ConfigVersion(u64),
    /// The load of this instance changed, in thousandths of its capacity.
    LoadChanged(u32),
    /// This instance is shutting down.
    LeaveStarted,
}

/// Action that the caller of a [`MemberTable`](super::MemberTable) must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a message.
    Send {
        /// The destination address, as `IP:port`.
        address: String,
        /// The receiver, or `None` if only its address is known.
        to: Option<HolderId>,
        /// The content; its loss is not reported back to the table.
        message: MemberMessage,
    },
    /// The set of live members changed, so owners must be chosen again.
    MembersChanged {
        /// The live members of the local domain, including this instance unless it is leaving.
        domain: Vec<InstanceName>,
    },
    /// A member was added, changed its state, or was restarted as a new process.
    StateChanged {
        /// The current process of the member.
        holder: HolderId,
        /// Its failure domain.
        domain: DomainName,
        /// The state after the change.
        state: MemberState,
    },
    /// A peer reported its active configuration version.
    PeerVersion {
        /// The process whose record came with the version.
        peer: HolderId,
        /// The version; 0 if it has none.
        version: u64,
    },
}
