//! Hashing of ledger states, used by state-space searches to recognise visited states.

use std::hash::{Hash, Hasher};

use super::{BudgetLedger, account::Account};

impl Hash for Account {
    /// Hashes everything except the statistics `forecast` and `request_size`.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.shard.hash(hasher);
        self.is_active.hash(hasher);
        self.balance.hash(hasher);
        self.reserved.hash(hasher);
        self.spent.hash(hasher);
        self.unreported.hash(hasher);
        self.wanted.hash(hasher);
        self.exchange.hash(hasher);
    }
}

impl Hash for BudgetLedger {
    /// Hashes the state without options and statistics. Ledgers with equal hashes behave
    /// identically if their options are equal, the policy is
    /// [`LowWater`](crate::budget::DrawPolicy::LowWater) and reads are not rate-limited.
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
        self.last_heard.hash(hasher);
        self.shards.hash(hasher);
        self.platform.hash(hasher);
        self.active.hash(hasher);
        self.urgent.hash(hasher);
        self.last_sweep_at.hash(hasher);
        self.is_draining.hash(hasher);
    }
}
