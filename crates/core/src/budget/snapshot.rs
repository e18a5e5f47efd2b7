//! Serializable snapshot of a budget ledger for diagnostics.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    base::{BudgetName, HolderId, TokenCount},
    budget::ShardNumber,
};

/// A snapshot of the ledger of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// The incarnation of the instance.
    pub holder: HolderId,
    /// Whether the last platform call failed.
    pub is_platform_away: bool,
    /// Whether the instance is draining.
    pub is_draining: bool,
    /// The number of registered budgets.
    pub budgets: usize,
    /// The accounts of the budgets that this process has used, ordered by name.
    pub accounts: Vec<AccountSnapshot>,
    /// The transfers that are not acknowledged yet.
    pub transfers: Vec<TransferSnapshot>,
}

/// A snapshot of the local state of one budget, in tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    /// The budget that the account tracks for this process.
    pub budget: BudgetName,
    /// Its ledger shard.
    pub shard: ShardNumber,
    /// The unreserved tokens.
    pub balance: TokenCount,
    /// The sum of open reservations.
    pub reserved: TokenCount,
    /// The tokens spent by this process.
    pub spent: TokenCount,
    /// The spent tokens that are not yet confirmed as reported to the platform, including those
    /// taken over from other instances.
    pub unreported: TokenCount,
    /// The tokens transferred to other instances.
    pub lent: TokenCount,
    /// The tokens received from other instances.
    pub borrowed: TokenCount,
    /// The tokens that requests wait for.
    pub wanted: TokenCount,
    /// The tokens of a draw whose write is not confirmed; they cannot be spent yet.
    pub drawing: TokenCount,
    /// The part of `unreported` whose write is not confirmed.
    pub reporting: TokenCount,
    /// The tokens of a return whose write is not confirmed.
    pub returning: TokenCount,
    /// The smoothed burn rate, in tokens per second.
    pub burn_per_s: f64,
    /// The tokens available at the platform at the last read, if there was one.
    pub available: Option<TokenCount>,
    /// The generation of the row of this process.
    pub generation: u32,
}

/// Describes why an instance has too few tokens of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShortageSnapshot {
    /// The time since the start of the instance.
    pub uptime: Duration,
    /// Whether this instance is the shard owner of its domain.
    pub is_owner: bool,
    /// The time since the shard owner of the domain was last heard, if it ever was.
    pub owner_heard: Option<Duration>,
    /// Whether the last platform call failed.
    pub is_platform_away: bool,
    /// The time since the shard was last read, if it ever was.
    pub read_age: Option<Duration>,
    /// The tokens held by all instances at the last read.
    pub held: Option<TokenCount>,
    /// The requests to the shard owner since the last transfer.
    pub owner_requests: u8,
    /// The searches among other instances since the last transfer.
    pub searches: u8,
    /// Whether there was a recent sign that the budget is scarce.
    pub is_scarce: bool,
}

/// A snapshot of a transfer that is not acknowledged yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSnapshot {
    /// The receiver.
    pub to: HolderId,
    /// The budget whose tokens change owner.
    pub budget: BudgetName,
    /// The tokens that the receiver owns from the arrival of the transfer.
    pub amount: TokenCount,
    /// The spent tokens that the receiver is to report.
    pub spent: TokenCount,
}
