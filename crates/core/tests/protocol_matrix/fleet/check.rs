//! What must hold at every moment, and what must hold again after healing.

use super::*;

/// Tokens of a request after healing.
const PROBE: u64 = 100;
/// The design allows refusals below 20 requests' worth (section 12).
const PROBE_REST: u64 = 20 * PROBE;
/// Ticks of 25 ms for which a request waits.
const PROBE_TICKS: u32 = 80;

fn ensure(holds: bool, violation: impl FnOnce() -> String) -> Result<(), String> {
    holds.then_some(()).ok_or_else(violation)
}

impl BudgetFleet {
    /// Checks the paid limit, the totals at the platform and the place of every token.
    pub(super) fn check(&self) -> Result<(), String> {
        let violation = self.violation.unwrap_or_default();
        ensure(violation.is_empty(), || violation.to_owned())?;
        let (totals, billed) = (self.value.totals(&budget()), self.billed);
        let parts = [totals.spent, totals.held, totals.available];
        let (paid, spent) = (totals.paid.get(), totals.spent.get());
        let is_within = spent <= billed && billed <= paid;
        ensure(is_within && totals.paid == parts.into_iter().sum(), || {
            format!("{billed} billed, {totals:?}")
        })?;
        let (mut lent, mut borrowed) = (0, 0);
        let ledgers = self.processes.iter().map(|process| &process.ledger);
        for ledger in ledgers.chain(&self.ended) {
            if let Some(account) = find_account(ledger) {
                lent += account.lent.get();
                borrowed += account.borrowed.get();
                self.check_holder(ledger.holder(), &account)?;
            }
        }
        let arrived: u64 = self.arrived.values().sum();
        ensure(borrowed == arrived && arrived <= lent, || {
            format!("{borrowed} borrowed, {arrived} arrived, {lent} lent")
        })
    }

    /// Checks that a holder owns exactly what the platform granted it and peers gave it.
    fn check_holder(&self, holder: &HolderId, account: &AccountSnapshot) -> Result<(), String> {
        let signed = |amount: TokenCount| amount.get() as i64;
        let owned = [
            account.balance,
            account.reserved,
            account.spent,
            account.lent,
        ];
        let owned: i64 = owned.into_iter().map(signed).sum();
        let granted = self.granted.get(holder).copied().unwrap_or_default();
        let rest = granted - (owned - signed(account.borrowed));
        // An unconfirmed write leaves the returned tokens on their way if it did not take effect,
        // and the drawn ones if it did.
        let is_known = rest == signed(account.drawing) || rest == signed(account.returning);
        ensure(is_known, || {
            format!("{holder} misses {rest}: {granted} granted, {account:?}")
        })
    }

    /// Checks that nothing stays on its way between live processes.
    pub(super) fn check_rest(&self) -> Result<(), String> {
        for process in &self.processes {
            let snapshot = process.ledger.snapshot();
            let mut open = snapshot.transfers.iter();
            let lost = open.find(|transfer| self.find(&transfer.to).is_some());
            ensure(lost.is_none(), || {
                format!("{lost:?} did not arrive after healing")
            })?;
            for account in &snapshot.accounts {
                let open = [account.drawing, account.returning, account.reserved];
                let is_settled = open.iter().all(|amount| amount.is_zero());
                ensure(is_settled, || format!("not settled: {account:?}"))?;
            }
        }
        Ok(())
    }

    /// Returns the tokens that no crashed holder and no transfer to one keeps.
    fn reachable(&self) -> u64 {
        let ledgers = self.processes.iter().map(|process| &process.ledger);
        let balances = ledgers
            .filter_map(find_account)
            .map(|account| account.balance);
        let available = self.value.totals(&budget()).available;
        balances.sum::<TokenCount>().saturating_add(available).get()
    }

    /// Serves requests at every process in turn until one is refused, which must not be falsely.
    pub(super) fn probe(&mut self) -> Result<(), String> {
        for index in (0..self.processes.len()).cycle() {
            let (before, mut ticks) = (self.reachable(), 0);
            let reservation = loop {
                let reservation = self.reserve(index, PROBE);
                if reservation.is_some() || ticks > PROBE_TICKS {
                    break reservation;
                }
                ticks += 1;
                self.run_tick()?;
            };
            if reservation.is_none() {
                return ensure(before < PROBE_REST, || {
                    format!("process {index} refuses a request with {before} tokens reachable")
                });
            }
            self.settle(index, reservation, PROBE);
            self.check()?;
        }
        Ok(())
    }
}
