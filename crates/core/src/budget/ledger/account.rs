//! Local state of one budget.

use crate::{
    base::{BudgetName, TokenCount},
    budget::{AccountSnapshot, ShardNumber},
};

/// Tracks the tokens of one budget that this process owns.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) budget: BudgetName,
    pub(super) shard: ShardNumber,
    pub(super) balance: TokenCount,
    pub(super) reserved: TokenCount,
    pub(super) spent: TokenCount,
}

impl Account {
    pub(super) const fn new(budget: BudgetName, shard: ShardNumber) -> Self {
        Self {
            budget,
            shard,
            balance: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            spent: TokenCount::ZERO,
        }
    }

    pub(super) fn snapshot(&self) -> AccountSnapshot {
        AccountSnapshot {
            budget: self.budget.clone(),
            shard: self.shard,
            balance: self.balance,
            reserved: self.reserved,
            spent: self.spent,
            unreported: self.spent,
            lent: TokenCount::ZERO,
            borrowed: TokenCount::ZERO,
            wanted: TokenCount::ZERO,
            drawing: TokenCount::ZERO,
            returning: TokenCount::ZERO,
            burn_per_s: 0.0,
            available: None,
            generation: 0,
        }
    }
}
