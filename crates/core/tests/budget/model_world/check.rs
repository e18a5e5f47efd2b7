//! Invariants of the model check.

use cornelarch_core::{base::TokenCount, budget::HolderRow};

use super::{Defect, LastRow, World, budget, find_account};

impl World {
    /// Returns a description of the invariant that this state violates, if any.
    pub(super) fn find_violation(&self) -> Option<String> {
        if self.violation.is_some() {
            return self.violation.clone();
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
        self.find_imbalance(granted - returned, spent)
    }

    /// Checks that the tokens granted by the platform equal those of processes and of the network.
    fn find_imbalance(&self, unavailable: u64, reported: u64) -> Option<String> {
        let live = self
            .nodes
            .iter()
            .map(|node| (find_account(&node.ledger), &node.last_row));
        let crashed = self
            .crashed
            .iter()
            .map(|node| (find_account(&node.ledger), &node.last_row));
        let (mut owned, mut lent, mut borrowed, mut unreported, mut spent) = (0, 0, 0, 0, 0);
        for (account, last_row) in live.chain(crashed) {
            let Some(account) = account else {
                continue;
            };
            owned += account.balance.get() + account.reserved.get() + account.spent.get();
            lent += account.lent.get();
            borrowed += account.borrowed.get();
            spent += account.spent.get();
            unreported += account.unreported.get();
            if self.has_taken_effect(last_row) {
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
        let delegated = spent.checked_sub(known);
        // Spent tokens passed to a shard owner for reporting are in transit until it has applied
        // the transfer.
        match delegated {
            None => Some(format!(
                "{known} tokens are reported or kept, {spent} were billed"
            )),
            Some(delegated) if delegated > 0 && self.limits.defect == Defect::None => {
                let open: u64 = self.max_spent_in_transit();
                (open < delegated)
                    .then(|| format!("{delegated} billed tokens are reported nowhere"))
            }
            Some(_) => None,
        }
    }

    /// Returns an upper bound of the spent tokens in transfers that may not have been applied.
    /// There is no bound after a crash, because the transfers of a crashed process are unknown.
    fn max_spent_in_transit(&self) -> u64 {
        if !self.crashed.is_empty() {
            return u64::MAX;
        }
        let open = self
            .nodes
            .iter()
            .flat_map(|node| node.ledger.snapshot().transfers);
        open.map(|transfer| transfer.spent.get()).sum()
    }

    fn has_taken_effect(&self, last_row: &Option<LastRow>) -> bool {
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
