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

/// A message between the ledgers of two instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BudgetMessage {
    /// Asks for tokens.
    BorrowRequest {
        /// Sent by name, because a [`BudgetKey`] is valid only within one process.
        budget: BudgetName,
        /// The requested amount, in tokens.
        amount: TokenCount,
    },
    /// Transfers ownership of tokens; resent until it is acknowledged.
    Transfer {
        /// Identifies the transfer among those from this sender to this receiver.
        sequence: u64,
        /// The budget whose tokens change owner.
        budget: BudgetName,
        /// The tokens that the receiver owns from now on.
        amount: TokenCount,
        /// The spent tokens that the receiver reports to the platform instead of the sender, so
        /// that only shard owners write to the platform.
        spent: TokenCount,
    },
    /// Acknowledges a transfer, or answers a borrow request.
    TransferAck {
        /// The sequence of the transfer, or 0 in response to a borrow request that cannot be filled
        /// immediately.
        sequence: u64,
    },
    /// Asks for idle tokens because the budget is exhausted at the platform.
    ReturnIdle {
        /// The exhausted budget.
        budget: BudgetName,
    },
}

/// An input of the ledger.
///
/// For each [`LedgerEffect::ReadShard`] the caller delivers one `ShardRead` or `PlatformDown`, and
/// for each [`LedgerEffect::WriteShard`] one `WriteAccepted`, `WriteConflict`, `WriteUnknown` or
/// `PlatformDown`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEvent {
    /// Advances timers; the caller delivers it about every 100 ms.
    Tick,
    /// A shard was read. An absent object has version 0 and an empty value.
    ShardRead {
        /// The shard named in [`LedgerEffect::ReadShard`].
        shard: ShardNumber,
        /// The version of the object.
        version: u64,
        /// The content of the object.
        value: ShardValue,
    },
    /// A write took effect.
    WriteAccepted {
        /// The shard named in [`LedgerEffect::WriteShard`].
        shard: ShardNumber,
        /// The new version of the object.
        version: u64,
    },
    /// A write was refused because the object has another version.
    WriteConflict {
        /// The shard whose content is still that of another write.
        shard: ShardNumber,
    },
    /// The response to a write was lost. The write may have taken effect or may still do so.
    WriteUnknown {
        /// The shard whose version is uncertain until it is read again.
        shard: ShardNumber,
    },
    /// A read or write failed and is known to have had no effect.
    PlatformDown {
        /// The shard that could not be read or written.
        shard: ShardNumber,
    },
    /// The live instances of all domains, with or without this instance. The list is only a hint.
    PeersChanged(Vec<DomainPeer>),
    /// A message of a peer arrived.
    Received {
        /// The sender.
        from: HolderId,
        /// The incarnation to which the message was sent. The ledger drops transfers and
        /// acknowledgements that were sent to an earlier incarnation.
        to: HolderId,
        /// The content that the sender emitted in [`LedgerEffect::Send`].
        message: BudgetMessage,
    },
    /// The instance starts to drain: it returns its balances and accepts no more reservations.
    DrainStarted,
}

/// An action that the ledger requests from its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LedgerEffect {
    /// Read a shard object.
    ReadShard {
        /// Whether the read must return the latest value. Otherwise a cheaper read may return a
        /// value that is seconds old, which is safe because writes are conditional on the version.
        is_latest: bool,
        /// Determines the object key; see [`ShardNumber::object_key`].
        shard: ShardNumber,
    },
    /// Write a shard object on condition that it has the expected version.
    WriteShard {
        /// Determines the object key; see [`ShardNumber::object_key`].
        shard: ShardNumber,
        /// The version that the object must have; 0 means that it must not exist.
        expected_version: u64,
        /// The new content.
        value: ShardValue,
    },
    /// Send a message to a peer, with best-effort delivery.
    Send {
        /// The receiver.
        to: HolderId,
        /// The content; the ledger itself resends what must arrive.
        message: BudgetMessage,
    },
    /// Let the requests that wait for this budget retry their reservation.
    Wake {
        /// The budget whose balance has grown.
        budget: BudgetKey,
    },
}
