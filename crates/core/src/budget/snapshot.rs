//! Dump of a budget ledger.

use serde::{Deserialize, Serialize};

use crate::{
    base::{BudgetName, HolderId, TokenCount},
    budget::ShardNumber,
};

/// Describes the budgets that an instance holds tokens of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LedgerSnapshot {
    /// The identity of the process.
    pub holder: HolderId,
    /// Whether the last platform call failed.
    pub is_platform_away: bool,
    /// Whether the instance is draining.
    pub is_draining: bool,
    /// The number of registered budgets.
    pub budgets: usize,
    /// The budgets that this process has used, ordered by name.
    pub accounts: Vec<AccountSnapshot>,
    /// The transfers that were not acknowledged.
    pub transfers: Vec<TransferSnapshot>,
}

/// Describes the local state of one budget, in tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AccountSnapshot {
    /// The budget.
    pub budget: BudgetName,
    /// Its ledger shard.
    pub shard: ShardNumber,
    /// The free tokens.
    pub balance: TokenCount,
    /// The sum of open reservations.
    pub reserved: TokenCount,
    /// The tokens spent by this process.
    pub spent: TokenCount,
    /// The part of `spent` that the platform does not know yet.
    pub unreported: TokenCount,
    /// The tokens transferred to other instances.
    pub lent: TokenCount,
    /// The tokens received from other instances.
    pub borrowed: TokenCount,
    /// The tokens that requests wait for.
    pub wanted: TokenCount,
    /// A draw whose write is not confirmed; it cannot be spent yet.
    pub drawing: TokenCount,
    /// The part of `unreported` whose write is not confirmed.
    pub reporting: TokenCount,
    /// A return whose write is not confirmed.
    pub returning: TokenCount,
    /// The predicted burn, in tokens per second.
    pub burn_per_s: f64,
    /// The tokens available at the platform at the last read, if there was one.
    pub available: Option<TokenCount>,
    /// The generation of the row of this process.
    pub generation: u32,
}

/// Describes a transfer that was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransferSnapshot {
    /// The receiver.
    pub to: HolderId,
    /// The budget.
    pub budget: BudgetName,
    /// The amount in tokens.
    pub amount: TokenCount,
    /// The spent tokens that the receiver is to report.
    pub spent: TokenCount,
}
