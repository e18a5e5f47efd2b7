//! Invariants of the model check.

use cornelarch_core::{base::TokenCount, budget::HolderRow};

use super::{Broken, LastRow, World, budget, find_account};

impl World {
    /// Returns what is wrong with this state.
    pub(super) fn find_fault(&self) -> Option<String> {
        if self.fault.is_some() {
            return self.fault.clone();
        }
        let entry = &self.value.budgets[&budget()];
        let rows = entry.rows.iter();
        let sum = |field: fn(&HolderRow) -> TokenCount| -> u64 {
            rows.clone().map(|row| field(row).get()).sum()
        };
        let granted = sum(|row| row.granted) + entry.folded.granted.get();
        let returned = sum(|row| row.returned) + entry.folded.returned.get();
        let spent = sum(|row| row.spent) + entry.folded.spent.get();
        let paid = entry.paid.get();
        if returned + spent > granted || granted - returned > paid {
            return Some(format!(
                "{granted} granted, {returned} returned, {spent} spent of {paid}"
            ));
        }
        if self.billed > paid {
            return Some(format!("{} tokens were spent of {paid} paid", self.billed));
        }
        if spent > self.billed {
            return Some(format!(
                "{spent} tokens are reported, {} were billed",
                self.billed
            ));
        }
        self.find_leak(granted - returned, spent)
    }

    /// Compares the tokens outside the platform with what processes and the network have.
    fn find_leak(&self, unavailable: u64, reported: u64) -> Option<String> {
        let live = self
            .nodes
            .iter()
            .map(|node| (find_account(&node.ledger), &node.last_row));
        let dead = self
            .dead
            .iter()
            .map(|node| (find_account(&node.ledger), &node.last_row));
        let (mut owned, mut lent, mut borrowed, mut unreported, mut spent) = (0, 0, 0, 0, 0);
        for (account, last_row) in live.chain(dead) {
            let Some(account) = account else {
                continue;
            };
            owned += account.balance.get() + account.reserved.get() + account.spent.get();
            lent += account.lent.get();
            borrowed += account.borrowed.get();
            spent += account.spent.get();
            unreported += account.unreported.get();
            if self.has_effect(last_row) {
                owned += account.drawing.get();
                unreported -= account.reporting.get();
            } else {
                owned += account.returning.get();
            }
        }
        if spent != self.billed {
            return Some(format!(
                "ledgers count {spent} spent, {} were billed",
                self.billed
            ));
        }
        if borrowed > lent {
            return Some(format!("{borrowed} tokens were received, {lent} were sent"));
        }
        if owned + lent - borrowed != unavailable {
            return Some(format!(
                "{owned} owned and {} in transit, {unavailable} granted",
                lent - borrowed
            ));
        }
        let known = reported + unreported;
        let handed = spent.checked_sub(known);
        // Reports that are handed to a shard owner are in transit until it has applied them.
        match handed {
            None => Some(format!(
                "{known} tokens are reported or kept, {spent} were billed"
            )),
            Some(handed) if handed > 0 && self.limits.broken == Broken::None => {
                let open: u64 = self.network_spent();
                (open < handed).then(|| format!("{handed} billed tokens are reported nowhere"))
            }
            Some(_) => None,
        }
    }

    /// Returns an upper bound of the spent tokens in transfers that may not have been applied. The
    /// transfers of a dead process are not known.
    fn network_spent(&self) -> u64 {
        if !self.dead.is_empty() {
            return u64::MAX;
        }
        let open = self
            .nodes
            .iter()
            .flat_map(|node| node.ledger.snapshot().transfers);
        open.map(|transfer| transfer.spent.get()).sum()
    }

    fn has_effect(&self, last_row: &Option<LastRow>) -> bool {
        let Some(last) = last_row else {
            return false;
        };
        let entry = &self.value.budgets[&budget()];
        let found = entry.row(&last.holder, last.generation);
        match (found, last.sequence) {
            (Some(row), Some(sequence)) => row.sequence >= sequence,
            (None, Some(_)) | (Some(_), None) => false,
            (None, None) => true,
        }
    }
}
