//! Invariants of every state, and conditions that must hold after the end of all faults.

use super::*;

/// Tokens of each request that is made after the end of all faults.
const PROBE_TOKENS: u64 = 100;
/// Requests may be refused if less than 20 requests' worth of tokens is reachable (design,
/// section 12).
const MAX_UNSERVED_TOKENS: u64 = 20 * PROBE_TOKENS;
/// Ticks of 25 ms for which a request waits before it counts as refused.
const MAX_WAIT_TICKS: u32 = 80;

fn ensure(holds: bool, violation: impl FnOnce() -> String) -> Result<(), String> {
    holds.then_some(()).ok_or_else(violation)
}

impl BudgetSimulation {
    /// Checks the paid limit, the totals at the platform, and that every token is accounted for
    /// exactly once.
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
        for ledger in ledgers.chain(&self.ended_ledgers) {
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

    /// Checks that a holder owns exactly the tokens that the platform granted to it and that peers
    /// transferred to it.
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
        // While a write is unconfirmed, the returned tokens are in transit if it did not take
        // effect, and the drawn tokens if it did.
        let is_known = rest == signed(account.drawing) || rest == signed(account.returning);
        ensure(is_known, || {
            format!("{rest} tokens of {holder} unaccounted for: {granted} granted, {account:?}")
        })
    }

    /// Checks that no transfer between live processes and no write is pending.
    pub(super) fn check_settled(&self) -> Result<(), String> {
        for process in &self.processes {
            let snapshot = process.ledger.snapshot();
            let mut open = snapshot.transfers.iter();
            let lost = open.find(|transfer| self.find(&transfer.to).is_some());
            ensure(lost.is_none(), || {
                format!("transfer not received after the end of all faults: {lost:?}")
            })?;
            for account in &snapshot.accounts {
                let open = [account.drawing, account.returning, account.reserved];
                let is_settled = open.iter().all(|amount| amount.is_zero());
                ensure(is_settled, || format!("account not settled: {account:?}"))?;
            }
        }
        Ok(())
    }

    /// Returns the tokens available at live holders and at the platform, without those kept by
    /// crashed holders or by transfers to them.
    fn reachable(&self) -> u64 {
        let ledgers = self.processes.iter().map(|process| &process.ledger);
        let balances = ledgers
            .filter_map(find_account)
            .map(|account| account.balance);
        let available = self.value.totals(&budget()).available;
        balances.sum::<TokenCount>().saturating_add(available).get()
    }

    /// Serves requests at every process in turn until one is refused, and checks that a refusal was
    /// justified by the number of reachable tokens.
    pub(super) fn check_refusals(&mut self) -> Result<(), String> {
        for index in (0..self.processes.len()).cycle() {
            let (before, mut ticks) = (self.reachable(), 0);
            let reservation = loop {
                let reservation = self.reserve(index, PROBE_TOKENS);
                if reservation.is_some() || ticks > MAX_WAIT_TICKS {
                    break reservation;
                }
                ticks += 1;
                self.run_tick()?;
            };
            if reservation.is_none() {
                return ensure(before < MAX_UNSERVED_TOKENS, || {
                    format!(
                        "process {index} refused a request although {before} tokens were reachable"
                    )
                });
            }
            self.settle(index, reservation, PROBE_TOKENS);
            self.check()?;
        }
        Ok(())
    }
}
