//! Local state of one budget.

use std::time::Duration;

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{AccountSnapshot, BurnForecast, HolderRow, PaidAmount, ShardNumber},
};

/// Part of a new reservation in the mean reservation: one in this many.
const SIZE_WEIGHT: u64 = 8;

/// Time after the last request in which a budget counts as recently used.
const RECENT_TIME: Duration = Duration::from_secs(10);

/// Counters of the row of this process as last confirmed by the platform.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct OwnRow {
    pub(super) generation: u32,
    /// The last sequence that any attempt used.
    pub(super) sequence: u64,
    pub(super) granted: TokenCount,
    pub(super) returned: TokenCount,
    pub(super) spent: TokenCount,
    /// Whether the row exists at the platform.
    pub(super) is_known: bool,
}

/// A change of the own row whose write is not confirmed.
#[derive(Clone, Debug, Hash)]
pub(super) struct PendingRow {
    pub(super) row: HolderRow,
    pub(super) drawn: TokenCount,
    pub(super) returned: TokenCount,
    pub(super) spent: TokenCount,
    pub(super) is_closing: bool,
}

/// What a change of the own row should contain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RowChange {
    pub(super) draw: TokenCount,
    pub(super) give_back: TokenCount,
    pub(super) is_closing: bool,
}

/// Tokens that a neighbour asked for and did not get yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct BorrowDemand {
    pub(super) holder: HolderId,
    pub(super) amount: TokenCount,
    pub(super) asked_at: MonotonicTime,
}

/// Rarely used state of a budget, kept apart so that an unused budget takes little memory.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct AccountWork {
    /// The paid amount of the newest known configuration version.
    pub(super) paid: Option<PaidAmount>,
    pub(super) row: OwnRow,
    pub(super) pending: Option<PendingRow>,
    pub(super) borrowers: Vec<BorrowDemand>,
    pub(super) drawn: TokenCount,
    pub(super) lent: TokenCount,
    pub(super) borrowed: TokenCount,
    pub(super) wanted_at: MonotonicTime,
    /// When the shard owner was asked; cleared by any transfer.
    pub(super) asked_at: Option<MonotonicTime>,
    /// The tokens that the shard owner was asked for last.
    pub(super) asked_amount: TokenCount,
    /// The requests to the shard owner since the last transfer.
    pub(super) asks: u8,
    /// Whether a request found too few tokens since the shard owner was asked.
    pub(super) is_new_need: bool,
    pub(super) silent_until: MonotonicTime,
    /// When every neighbour and the owners of other domains were asked.
    pub(super) searched_at: Option<MonotonicTime>,
    /// The number of such searches, which picks whom to ask.
    pub(super) searches: u32,
    /// The searches since another instance last gave tokens.
    pub(super) vain_searches: u8,
    pub(super) surplus_since: Option<MonotonicTime>,
    pub(super) dirty_since: Option<MonotonicTime>,
    pub(super) scarce_until: MonotonicTime,
    pub(super) has_grown: bool,
}

/// Tracks the tokens of one budget that this process owns.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) budget: BudgetName,
    pub(super) shard: ShardNumber,
    pub(super) is_active: bool,
    pub(super) balance: TokenCount,
    pub(super) reserved: TokenCount,
    pub(super) spent: TokenCount,
    /// Spent tokens that are in no confirmed row, including those of neighbours.
    pub(super) unreported: TokenCount,
    pub(super) wanted: TokenCount,
    used_at: MonotonicTime,
    pub(super) request_size: TokenCount,
    pub(super) forecast: BurnForecast,
    pub(super) work: Option<Box<AccountWork>>,
}

impl Account {
    pub(super) fn new(budget: BudgetName, shard: ShardNumber) -> Self {
        Self {
            budget,
            shard,
            is_active: false,
            balance: TokenCount::ZERO,
            reserved: TokenCount::ZERO,
            spent: TokenCount::ZERO,
            unreported: TokenCount::ZERO,
            wanted: TokenCount::ZERO,
            used_at: MonotonicTime::START,
            request_size: TokenCount::ZERO,
            forecast: BurnForecast::default(),
            work: None,
        }
    }

    /// Returns whether a request used the budget lately or waits for it.
    pub(super) fn is_recent(&self, now: MonotonicTime) -> bool {
        let is_waiting = !self.wanted.is_zero();
        is_waiting || now.since(self.used_at) <= RECENT_TIME
    }

    pub(super) fn work(&mut self) -> &mut AccountWork {
        self.work.get_or_insert_default()
    }

    /// Moves tokens from the balance to a reservation if they suffice.
    pub(super) fn reserve(&mut self, amount: TokenCount, now: MonotonicTime) -> bool {
        self.used_at = now;
        self.observe_size(amount);
        let Some(balance) = self.balance.checked_sub(amount) else {
            return false;
        };
        self.balance = balance;
        self.reserved = self.reserved.saturating_add(amount);
        self.forecast.add(amount);
        true
    }

    /// Moves a reservation to the spent tokens; the rest goes back to the balance.
    pub(super) fn settle(&mut self, reserved: TokenCount, billed: TokenCount, now: MonotonicTime) {
        let rest = reserved.saturating_sub(billed);
        self.used_at = now;
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent = self.spent.saturating_add(billed);
        self.forecast.remove(rest);
        self.add_unreported(billed, now);
        if !rest.is_zero() {
            self.add_balance(rest);
        }
    }

    pub(super) fn add_unreported(&mut self, spent: TokenCount, now: MonotonicTime) {
        if spent.is_zero() {
            return;
        }
        self.unreported = self.unreported.saturating_add(spent);
        self.work().dirty_since.get_or_insert(now);
    }

    pub(super) fn add_balance(&mut self, amount: TokenCount) {
        self.balance = self.balance.saturating_add(amount);
        self.work().has_grown = true;
    }

    pub(super) fn add_wanted(&mut self, amount: TokenCount, now: MonotonicTime) {
        self.wanted = self.wanted.saturating_add(amount);
        let work = self.work();
        work.wanted_at = now;
        work.is_new_need = true;
    }

    fn observe_size(&mut self, amount: TokenCount) {
        let earlier = self.request_size.get();
        let size = match earlier {
            0 => amount.get(),
            _ => earlier - earlier / SIZE_WEIGHT + amount.get() / SIZE_WEIGHT,
        };
        self.request_size = TokenCount::new(size);
    }

    /// Forgets requests and borrowers that no longer wait.
    pub(super) fn expire(&mut self, end_wait: Duration, now: MonotonicTime) {
        let Some(work) = &mut self.work else {
            return;
        };
        if now.since(work.wanted_at) > end_wait {
            self.wanted = TokenCount::ZERO;
        }
        work.borrowers
            .retain(|demand| now.since(demand.asked_at) <= end_wait * 2);
    }

    /// Returns the tokens that requests and borrowers wait for.
    pub(super) fn need(&self) -> TokenCount {
        let borrowers = self.work.iter().flat_map(|work| &work.borrowers);
        let lent: TokenCount = borrowers.map(|demand| demand.amount).sum();
        self.wanted.saturating_add(lent)
    }

    /// Returns the spent tokens that no pending write reports.
    pub(super) fn unsent(&self) -> TokenCount {
        let pending = self.work.as_ref().and_then(|work| work.pending.as_ref());
        let sent = pending.map_or(TokenCount::ZERO, |pending| pending.spent);
        self.unreported.saturating_sub(sent)
    }

    /// Starts a change of the own row and returns it.
    pub(super) fn start_row(&mut self, holder: &HolderId, change: RowChange) -> &PendingRow {
        let spent = self.unreported;
        let give_back = change.give_back.min(self.balance);
        self.balance = self.balance.saturating_sub(give_back);
        let work = self.work();
        work.row.sequence += 1;
        let row = HolderRow {
            holder: holder.clone(),
            generation: work.row.generation,
            sequence: work.row.sequence,
            granted: work.row.granted.saturating_add(change.draw),
            returned: work.row.returned.saturating_add(give_back),
            spent: work.row.spent.saturating_add(spent),
            sealed: false,
        };
        work.pending.insert(PendingRow {
            row,
            drawn: change.draw,
            returned: give_back,
            spent,
            is_closing: change.is_closing,
        })
    }

    /// Takes over the pending change, which has taken effect.
    pub(super) fn confirm_row(&mut self, now: MonotonicTime) {
        let work = self.work();
        let Some(pending) = work.pending.take() else {
            return;
        };
        work.row.granted = pending.row.granted;
        work.row.returned = pending.row.returned;
        work.row.spent = pending.row.spent;
        work.row.is_known = true;
        work.drawn = work.drawn.saturating_add(pending.drawn);
        if pending.is_closing {
            self.open_generation();
        }
        self.remove_unreported(pending.spent, now);
        if !pending.drawn.is_zero() {
            self.add_balance(pending.drawn);
        }
    }

    /// Drops the pending change, which can no longer take effect.
    pub(super) fn abandon_row(&mut self) {
        let pending = self.work().pending.take();
        if let Some(pending) = pending
            && !pending.returned.is_zero()
        {
            self.add_balance(pending.returned);
        }
    }

    /// Drops the pending change of a row that was sealed and folded: whether it took effect cannot
    /// be told any more, so its tokens stay held and its report is not repeated.
    pub(super) fn forget_row(&mut self, now: MonotonicTime) {
        if let Some(pending) = self.work().pending.take() {
            self.remove_unreported(pending.spent, now);
        }
        self.open_generation();
    }

    /// Starts a new row because the current one was sealed or closed.
    pub(super) fn open_generation(&mut self) {
        let row = &mut self.work().row;
        *row = OwnRow {
            generation: row.generation + 1,
            ..OwnRow::default()
        };
    }

    pub(super) fn remove_unreported(&mut self, spent: TokenCount, now: MonotonicTime) {
        self.unreported = self.unreported.saturating_sub(spent);
        let is_clean = self.unreported.is_zero();
        self.work().dirty_since = (!is_clean).then_some(now);
    }

    /// Returns whether nothing remains to be done for this budget.
    pub(super) fn is_idle(&self) -> bool {
        let is_quiet = self
            .work
            .as_ref()
            .is_none_or(|work| work.pending.is_none() && work.borrowers.is_empty());
        is_quiet
            && self.balance.is_zero()
            && self.reserved.is_zero()
            && self.unreported.is_zero()
            && self.wanted.is_zero()
    }

    /// Returns whether the own row exists at the platform.
    pub(super) fn has_row(&self) -> bool {
        self.work.as_ref().is_some_and(|work| work.row.is_known)
    }

    pub(super) fn snapshot(&self, available: Option<TokenCount>) -> AccountSnapshot {
        let empty = AccountWork::default();
        let work = self.work.as_deref().unwrap_or(&empty);
        let pending = work.pending.as_ref();
        AccountSnapshot {
            budget: self.budget.clone(),
            shard: self.shard,
            balance: self.balance,
            reserved: self.reserved,
            spent: self.spent,
            unreported: self.unreported,
            lent: work.lent,
            borrowed: work.borrowed,
            wanted: self.wanted,
            drawing: pending.map_or(TokenCount::ZERO, |pending| pending.drawn),
            reporting: pending.map_or(TokenCount::ZERO, |pending| pending.spent),
            returning: pending.map_or(TokenCount::ZERO, |pending| pending.returned),
            burn_per_s: self.forecast.rate(),
            available,
            generation: work.row.generation,
        }
    }
}
