//! What must hold at every moment, and what must hold again after healing.

use cornelarch_core::budget::AccountSnapshot;

use super::*;

fn as_signed(amount: TokenCount) -> i64 {
    i64::try_from(amount.get()).expect("amounts of the matrix are small")
}

fn find_account(ledger: &BudgetLedger) -> Option<AccountSnapshot> {
    ledger.snapshot().accounts.into_iter().next()
}

fn ensure(holds: bool, violation: impl FnOnce() -> String) -> Result<(), String> {
    match holds {
        true => Ok(()),
        false => Err(violation()),
    }
}

impl BudgetFleet {
    /// Checks the paid limit, the totals at the platform and the place of every token.
    pub(super) fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let totals = self.value.totals(&budget());
        let (paid, spent) = (totals.paid.get(), totals.spent.get());
        let (held, available) = (totals.held.get(), totals.available.get());
        ensure(paid == spent + held + available, || {
            format!("paid {paid} is not spent {spent} + held {held} + available {available}")
        })?;
        ensure(spent <= self.billed && self.billed <= paid, || {
            format!("{spent} reported, {} billed, {paid} paid", self.billed)
        })?;
        let ledgers = self.processes.iter().map(|process| &process.ledger);
        let (mut lent, mut borrowed) = (0, 0);
        for ledger in ledgers.chain(&self.ended) {
            let Some(account) = find_account(ledger) else {
                continue;
            };
            lent += account.lent.get();
            borrowed += account.borrowed.get();
            self.check_holder(ledger.holder(), &account)?;
        }
        let arrived: u64 = self.arrived.values().sum();
        ensure(borrowed == arrived && arrived <= lent, || {
            format!("{borrowed} borrowed, {arrived} arrived, {lent} lent")
        })
    }

    /// Checks that a holder owns exactly what the platform granted it and peers gave it.
    fn check_holder(&self, holder: &HolderId, account: &AccountSnapshot) -> Result<(), String> {
        let (granted, returned) = self.granted.get(holder).copied().unwrap_or_default();
        let net = granted - returned;
        let owned = [
            account.balance,
            account.reserved,
            account.spent,
            account.lent,
        ];
        let owned: i64 = owned.into_iter().map(as_signed).sum();
        let rest = net - (owned - as_signed(account.borrowed));
        // An unconfirmed write leaves the returned tokens on their way if it did not take effect,
        // and the drawn ones if it did.
        let on_way = [as_signed(account.drawing), as_signed(account.returning)];
        ensure(on_way.contains(&rest), || {
            format!("{holder} misses {rest} tokens: net {net}, {account:?}")
        })
    }

    /// Checks that nothing stays on its way between live processes.
    pub(super) fn check_rest(&self) -> Result<(), String> {
        for process in &self.processes {
            let snapshot = process.ledger.snapshot();
            let open = snapshot.transfers.iter();
            let mut open = open.filter(|transfer| self.find(&transfer.to).is_some());
            if let Some(transfer) = open.next() {
                return Err(format!("{transfer:?} was not acknowledged after healing"));
            }
            for account in &snapshot.accounts {
                let waiting = [account.drawing, account.returning, account.reserved];
                let waiting: TokenCount = waiting.into_iter().sum();
                ensure(waiting.is_zero(), || format!("not settled: {account:?}"))?;
            }
        }
        Ok(())
    }

    /// Returns the tokens that no crashed holder and no transfer to one keeps.
    fn reachable(&self) -> u64 {
        let accounts = self.processes.iter();
        let accounts = accounts.filter_map(|process| find_account(&process.ledger));
        let balances: TokenCount = accounts.map(|account| account.balance).sum();
        let available = self.value.totals(&budget()).available;
        available.saturating_add(balances).get()
    }

    /// Serves requests at every process in turn until one is refused falsely or the budget ends.
    pub(super) fn probe(&mut self) -> Result<(), String> {
        for number in 0.. {
            let index = number % self.processes.len();
            let before = self.reachable();
            let mut ticks = 0;
            let reservation = loop {
                if let Some(reservation) = self.reserve(index, PROBE) {
                    break Some(reservation);
                }
                ticks += 1;
                if ticks > PROBE_TICKS {
                    break None;
                }
                self.run_tick()?;
            };
            let Some(reservation) = reservation else {
                return ensure(before < PROBE_REST, || {
                    format!(
                        "false refusal at process {index} after {number} requests: {before} reachable"
                    )
                });
            };
            let request = Request {
                amount: PROBE,
                cost: PROBE,
                ends: self.now,
                reservation: Some(reservation),
            };
            self.settle(index, &request);
            self.check()?;
        }
        Ok(())
    }
}
