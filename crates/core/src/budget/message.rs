//! Events, effects and peer messages of the budget ledger.

use serde::{Deserialize, Serialize};

use crate::{
    base::{BudgetName, DomainName, HolderId, TokenCount},
    budget::{BudgetKey, ShardNumber, ShardValue},
};

/// Describes a live router instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DomainPeer {
    /// The incarnation of the instance.
    pub holder: HolderId,
    /// The failure domain of the instance.
    pub domain: DomainName,
}

/// Lists the messages that ledgers of different instances exchange.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Asks for tokens.
    BorrowRequest {
        /// The budget.
        budget: BudgetName,
        /// The wanted amount, in tokens.
        amount: TokenCount,
    },
    /// Transfers ownership of tokens; resent until it is acknowledged.
    Transfer {
        /// Identifies the transfer among those from this sender to this receiver.
        sequence: u64,
        /// The budget.
        budget: BudgetName,
        /// The tokens that the receiver owns from now on.
        amount: TokenCount,
        /// The spent tokens that the receiver reports to the platform instead of the sender, so
        /// that only shard owners write to the platform.
        spent: TokenCount,
    },
    /// Tells that a transfer has arrived.
    TransferAck {
        /// The sequence of the transfer, or 0 as the answer to a borrow request that cannot be
        /// filled at once.
        sequence: u64,
    },
    /// Asks for idle tokens because the budget is exhausted at the platform.
    ReturnIdle {
        /// The budget.
        budget: BudgetName,
    },
}

/// Lists what the ledger reacts to.
///
/// For each [`LedgerEffect::ReadShard`] the caller delivers one `ShardRead` or `PlatformDown`, and
/// for each [`LedgerEffect::WriteShard`] one `WriteAccepted`, `WriteConflict`, `WriteUnknown` or
/// `PlatformDown`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEvent {
    /// Time has passed; to be sent about every 100 ms.
    Tick,
    /// A shard was read. An absent object has version 0 and an empty value.
    ShardRead {
        /// The shard.
        shard: ShardNumber,
        /// The version of the object.
        version: u64,
        /// The content of the object.
        value: ShardValue,
    },
    /// A write took effect.
    WriteAccepted {
        /// The shard.
        shard: ShardNumber,
        /// The new version of the object.
        version: u64,
    },
    /// A write was refused because the object has another version.
    WriteConflict {
        /// The shard.
        shard: ShardNumber,
    },
    /// The answer to a write was lost; it may have taken effect or may still do so.
    WriteUnknown {
        /// The shard.
        shard: ShardNumber,
    },
    /// A read or write was certainly not carried out.
    PlatformDown {
        /// The shard.
        shard: ShardNumber,
    },
    /// The live instances of all domains, with or without this instance. A hint only.
    PeersChanged(Vec<DomainPeer>),
    /// A message of a peer arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// The incarnation to which the message was sent. The ledger drops transfers and
        /// acknowledgements that were sent to an earlier incarnation.
        to: HolderId,
        /// The message.
        message: BudgetMessage,
    },
    /// The instance gives up its balances and accepts no more reservations.
    DrainStarted,
}

/// Lists what the ledger wants done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEffect {
    /// Read a shard object.
    ReadShard {
        /// Whether the value must be the newest one. Otherwise a cheaper read may return one that is
        /// seconds old; a write that builds on it is conditional.
        is_latest: bool,
        /// The shard.
        shard: ShardNumber,
    },
    /// Write a shard object if it has the expected version.
    WriteShard {
        /// The shard.
        shard: ShardNumber,
        /// The version on which the write depends; 0 means that the object does not exist.
        expected_version: u64,
        /// The new content.
        value: ShardValue,
    },
    /// Send a message to a peer, without any guarantee.
    Send {
        /// The receiver.
        to: HolderId,
        /// The message.
        message: BudgetMessage,
    },
    /// Let the requests that wait for this budget try to reserve again.
    Wake {
        /// The budget.
        budget: BudgetKey,
    },
}
