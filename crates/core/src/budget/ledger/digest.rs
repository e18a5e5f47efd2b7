//! Hash of a ledger, by which a search over its transitions recognises a state.

use std::hash::{Hash, Hasher};

use super::{BudgetLedger, account::Account};

impl Hash for Account {
    /// Hashes everything but the statistics `forecast` and `request_size`.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.shard.hash(hasher);
        self.is_active.hash(hasher);
        self.balance.hash(hasher);
        self.reserved.hash(hasher);
        self.spent.hash(hasher);
        self.unreported.hash(hasher);
        self.wanted.hash(hasher);
        self.work.hash(hasher);
    }
}

impl Hash for BudgetLedger {
    /// Hashes the state, without options and statistics. Two ledgers with equal options, the policy
    /// [`LowWater`](crate::budget::DrawPolicy::LowWater), no read limit and equal hashes react
    /// equally.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.holder.epoch.hash(hasher);
        for (key, account) in &self.accounts {
            (key, account).hash(hasher);
        }
        for (key, reservation) in &self.reservations {
            (key, reservation).hash(hasher);
        }
        self.transfers.hash(hasher);
        self.peers.hash(hasher);
        self.heard.hash(hasher);
        self.shards.hash(hasher);
        self.platform.hash(hasher);
        self.active.hash(hasher);
        self.urgent.hash(hasher);
        self.swept_at.hash(hasher);
        self.is_draining.hash(hasher);
    }
}
