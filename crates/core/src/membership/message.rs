//! Events, effects and messages of a member table.

use serde::{Deserialize, Serialize};

use crate::{
    base::{DomainName, HolderId, InstanceName},
    membership::{MemberRecord, MemberState},
};

/// Carries what both a ping and an ack tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PingBody {
    /// Pairs an ack with its ping.
    pub nonce: u64,
    /// The member that pings or acknowledges. A relayed ack carries the target's record, while
    /// the message itself comes from the relay.
    pub sender: MemberRecord,
    /// The configuration version in force at `sender`; 0 if there is none.
    pub config_version: u64,
    /// The load of `sender` in thousandths of its capacity.
    pub load_permille: u32,
    /// Records of other members.
    pub updates: Vec<MemberRecord>,
}

/// Lists the messages between member tables.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Checks that the receiver is alive.
    Ping(PingBody),
    /// Answers a ping.
    Ack(PingBody),
    /// Asks the receiver to ping `target` and to relay the ack.
    PingRequest {
        /// Pairs the relayed ack with the request.
        nonce: u64,
        /// The member to ping.
        target: HolderId,
    },
    /// Asks for all live members, unless the receiver knows the same ones.
    TableRequest {
        /// The member that asks.
        sender: MemberRecord,
        /// The digest of the live members that it knows.
        digest: u64,
    },
    /// Carries a part of the live members.
    TableChunk {
        /// Records of the sender and of other members.
        records: Vec<MemberRecord>,
    },
    /// Tells that the sender is being stopped.
    Leaving {
        /// The incarnation of the sender from which it is leaving.
        incarnation: u64,
    },
}

/// Describes one entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceHint {
    /// The instance.
    pub instance: InstanceName,
    /// The address of port `peers` as `IP:port`.
    pub address: String,
}

/// Lists what happens to a member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Time passed; sent at least every 100 ms.
    Tick,
    /// A message arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// The message.
        message: MemberMessage,
    },
    /// The platform's instance list was read.
    InstanceList(Vec<InstanceHint>),
    /// Another configuration version is in force here.
    ConfigVersion(u64),
    /// The own load changed, in thousandths of the capacity.
    LoadChanged(u32),
    /// This instance is being stopped.
    LeaveStarted,
}

/// Lists what the caller of a member table must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a message.
    Send {
        /// The address as `IP:port`.
        address: String,
        /// The receiver, or `None` if only its address is known.
        to: Option<HolderId>,
        /// The message.
        message: MemberMessage,
    },
    /// The live members changed; roles must be chosen again.
    MembersChanged {
        /// The live members of the own domain, including this instance unless it is leaving.
        domain: Vec<InstanceName>,
    },
    /// A member is new or changed its state or its process.
    StateChanged {
        /// The member.
        holder: HolderId,
        /// Its failure domain.
        domain: DomainName,
        /// Its state.
        state: MemberState,
    },
    /// A peer told which configuration version is in force at it.
    PeerVersion {
        /// The peer.
        peer: HolderId,
        /// The version; 0 if it has none.
        version: u64,
    },
}
