//! Local state of a single budget.

use std::time::Duration;

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{AccountSnapshot, BurnForecast, HolderRow, PaidAmount, ShardNumber},
};

/// Inverse weight of a new sample in the moving average of the reservation size.
const SIZE_AVERAGE_DIVISOR: u64 = 8;

/// How long after its last request a budget counts as recently used.
const RECENT_USE_PERIOD: Duration = Duration::from_secs(10);

/// Counters of this process's row as last confirmed by the platform.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct OwnRow {
    pub(super) generation: u32,
    /// The highest sequence number that any write attempt has used.
    pub(super) sequence: u64,
    pub(super) granted: TokenCount,
    pub(super) returned: TokenCount,
    pub(super) spent: TokenCount,
    /// Whether the row exists at the platform.
    pub(super) is_stored: bool,
}

/// A change of this process's row whose write is not confirmed yet.
#[derive(Clone, Debug, Hash)]
pub(super) struct PendingRow {
    pub(super) row: HolderRow,
    pub(super) drawn: TokenCount,
    pub(super) returned: TokenCount,
    pub(super) spent: TokenCount,
    pub(super) is_closing: bool,
}

/// The intended change of this process's row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RowChange {
    pub(super) draw: TokenCount,
    pub(super) give_back: TokenCount,
    pub(super) is_closing: bool,
}

/// An unmet borrow request of another instance.
#[derive(Clone, Debug, Hash)]
pub(super) struct BorrowDemand {
    pub(super) holder: HolderId,
    pub(super) amount: TokenCount,
    pub(super) asked_at: MonotonicTime,
}

/// State of the token exchange with the platform and other instances. Allocated on first use, so
/// that an unused budget takes little memory.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct ExchangeState {
    /// The paid amount of the newest known configuration version.
    pub(super) paid: Option<PaidAmount>,
    pub(super) row: OwnRow,
    pub(super) pending: Option<PendingRow>,
    pub(super) borrowers: Vec<BorrowDemand>,
    pub(super) drawn: TokenCount,
    pub(super) lent: TokenCount,
    pub(super) borrowed: TokenCount,
    /// The tokens lent to neighbours that they have neither returned nor reported as spent.
    pub(super) open_loans: TokenCount,
    pub(super) wanted_at: MonotonicTime,
    /// When the shard owner was last asked for tokens; cleared by any transfer.
    pub(super) asked_at: Option<MonotonicTime>,
    /// The amount of the last request to the shard owner.
    pub(super) asked_amount: TokenCount,
    /// The number of requests to the shard owner since the last transfer.
    pub(super) ask_count: u8,
    /// Whether a reservation has failed since the shard owner was last asked.
    pub(super) has_new_demand: bool,
    /// Until when the instance draws from the platform itself because the shard owner gave no
    /// tokens.
    pub(super) bypass_owner_until: MonotonicTime,
    /// When neighbours and owners in other domains were last asked for tokens.
    pub(super) last_search_at: Option<MonotonicTime>,
    /// The number of such searches; selects the neighbours to ask.
    pub(super) search_count: u32,
    /// The number of searches since another instance last transferred tokens.
    pub(super) failed_searches: u8,
    pub(super) surplus_since: Option<MonotonicTime>,
    pub(super) unreported_since: Option<MonotonicTime>,
    pub(super) scarce_until: MonotonicTime,
    pub(super) has_balance_grown: bool,
    /// Whether this draining process has handed its balance over to its successor.
    pub(super) is_handed_over: bool,
}

/// Tracks the tokens of one budget that are owned by this process.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) budget: BudgetName,
    pub(super) shard: ShardNumber,
    pub(super) is_active: bool,
    pub(super) balance: TokenCount,
    pub(super) reserved: TokenCount,
    pub(super) spent: TokenCount,
    /// Spent tokens that no confirmed row contains yet, including those handed over by other
    /// instances.
    pub(super) unreported: TokenCount,
    pub(super) wanted: TokenCount,
    used_at: MonotonicTime,
    pub(super) request_size: TokenCount,
    pub(super) forecast: BurnForecast,
    pub(super) exchange: Option<Box<ExchangeState>>,
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
            exchange: None,
        }
    }

    /// Returns whether a request has used the budget recently or is waiting for it.
    pub(super) fn is_recently_used(&self, now: MonotonicTime) -> bool {
        let is_waiting = !self.wanted.is_zero();
        is_waiting || now.since(self.used_at) <= RECENT_USE_PERIOD
    }

    pub(super) fn exchange_mut(&mut self) -> &mut ExchangeState {
        self.exchange.get_or_insert_default()
    }

    /// Moves tokens from the balance to a reservation if the balance suffices.
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

    /// Books the billed part of a reservation as spent and returns the rest to the balance.
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

    /// Counts a loan to a neighbour as outflow.
    pub(super) fn open_loan(&mut self, amount: TokenCount) {
        self.forecast.add(amount);
        let exchange = self.exchange_mut();
        exchange.open_loans = exchange.open_loans.saturating_add(amount);
    }

    /// Counts the part of a neighbour's transfer that is a returned loan as inflow. Tokens that the
    /// neighbour drew itself, or that come from other domains, say nothing about the demand.
    pub(super) fn close_loans(&mut self, spent: TokenCount, returned: TokenCount) {
        let exchange = self.exchange_mut();
        let open = exchange.open_loans.saturating_sub(spent);
        let returned = returned.min(open);
        exchange.open_loans = open.saturating_sub(returned);
        self.forecast.remove(returned);
    }

    pub(super) fn add_unreported(&mut self, spent: TokenCount, now: MonotonicTime) {
        if spent.is_zero() {
            return;
        }
        self.unreported = self.unreported.saturating_add(spent);
        self.exchange_mut().unreported_since.get_or_insert(now);
    }

    pub(super) fn add_balance(&mut self, amount: TokenCount) {
        self.balance = self.balance.saturating_add(amount);
        self.exchange_mut().has_balance_grown = true;
    }

    pub(super) fn add_wanted(&mut self, amount: TokenCount, now: MonotonicTime) {
        self.wanted = self.wanted.saturating_add(amount);
        let exchange = self.exchange_mut();
        exchange.wanted_at = now;
        exchange.has_new_demand = true;
    }

    fn observe_size(&mut self, amount: TokenCount) {
        let earlier = self.request_size.get();
        let size = match earlier {
            0 => amount.get(),
            _ => earlier - earlier / SIZE_AVERAGE_DIVISOR + amount.get() / SIZE_AVERAGE_DIVISOR,
        };
        self.request_size = TokenCount::new(size);
    }

    /// Drops the demand of requests and borrowers that no longer wait.
    pub(super) fn expire(&mut self, end_wait: Duration, now: MonotonicTime) {
        let Some(exchange) = &mut self.exchange else {
            return;
        };
        if now.since(exchange.wanted_at) > end_wait {
            self.wanted = TokenCount::ZERO;
        }
        exchange
            .borrowers
            .retain(|demand| now.since(demand.asked_at) <= end_wait * 2);
    }

    /// Returns the number of tokens that requests and borrowers are waiting for.
    pub(super) fn need(&self) -> TokenCount {
        let borrowers = self
            .exchange
            .iter()
            .flat_map(|exchange| &exchange.borrowers);
        let lent: TokenCount = borrowers.map(|demand| demand.amount).sum();
        self.wanted.saturating_add(lent)
    }

    /// Returns the spent tokens that are neither reported nor part of a pending write.
    pub(super) fn unsent(&self) -> TokenCount {
        let pending = self
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.pending.as_ref());
        let sent = pending.map_or(TokenCount::ZERO, |pending| pending.spent);
        self.unreported.saturating_sub(sent)
    }

    /// Prepares a change of this process's row and returns it.
    pub(super) fn stage_row(&mut self, holder: &HolderId, change: RowChange) -> &PendingRow {
        let spent = self.unreported;
        let give_back = change.give_back.min(self.balance);
        self.balance = self.balance.saturating_sub(give_back);
        let exchange = self.exchange_mut();
        exchange.row.sequence += 1;
        let row = HolderRow {
            holder: holder.clone(),
            generation: exchange.row.generation,
            sequence: exchange.row.sequence,
            granted: exchange.row.granted.saturating_add(change.draw),
            returned: exchange.row.returned.saturating_add(give_back),
            spent: exchange.row.spent.saturating_add(spent),
            sealed: false,
        };
        exchange.pending.insert(PendingRow {
            row,
            drawn: change.draw,
            returned: give_back,
            spent,
            is_closing: change.is_closing,
        })
    }

    /// Commits the pending change after its write has taken effect.
    pub(super) fn commit_row(&mut self, now: MonotonicTime) {
        let exchange = self.exchange_mut();
        let Some(pending) = exchange.pending.take() else {
            return;
        };
        exchange.row.granted = pending.row.granted;
        exchange.row.returned = pending.row.returned;
        exchange.row.spent = pending.row.spent;
        exchange.row.is_stored = true;
        exchange.drawn = exchange.drawn.saturating_add(pending.drawn);
        if pending.is_closing {
            self.open_generation();
        }
        self.remove_unreported(pending.spent, now);
        if !pending.drawn.is_zero() {
            self.add_balance(pending.drawn);
        }
    }

    /// Rolls back the pending change, whose write can no longer take effect.
    pub(super) fn roll_back_row(&mut self) {
        let pending = self.exchange_mut().pending.take();
        if let Some(pending) = pending
            && !pending.returned.is_zero()
        {
            self.add_balance(pending.returned);
        }
    }

    /// Discards the pending change of a row that was sealed and folded. Whether the change took
    /// effect can no longer be determined, so its tokens stay held and its report is not repeated.
    pub(super) fn discard_row(&mut self, now: MonotonicTime) {
        if let Some(pending) = self.exchange_mut().pending.take() {
            self.remove_unreported(pending.spent, now);
        }
        self.open_generation();
    }

    /// Starts a new row because the current one was sealed or closed.
    pub(super) fn open_generation(&mut self) {
        let row = &mut self.exchange_mut().row;
        *row = OwnRow {
            generation: row.generation + 1,
            ..OwnRow::default()
        };
    }

    pub(super) fn remove_unreported(&mut self, spent: TokenCount, now: MonotonicTime) {
        self.unreported = self.unreported.saturating_sub(spent);
        let is_reported = self.unreported.is_zero();
        self.exchange_mut().unreported_since = (!is_reported).then_some(now);
    }

    /// Returns whether the budget has no tokens, reports, demand or pending change.
    pub(super) fn is_idle(&self) -> bool {
        let has_no_exchange = self
            .exchange
            .as_ref()
            .is_none_or(|exchange| exchange.pending.is_none() && exchange.borrowers.is_empty());
        has_no_exchange
            && self.balance.is_zero()
            && self.reserved.is_zero()
            && self.unreported.is_zero()
            && self.wanted.is_zero()
    }

    /// Returns whether the platform stores a row of this process.
    pub(super) fn has_row(&self) -> bool {
        self.exchange
            .as_ref()
            .is_some_and(|exchange| exchange.row.is_stored)
    }

    pub(super) fn snapshot(&self, available: Option<TokenCount>) -> AccountSnapshot {
        let empty = ExchangeState::default();
        let exchange = self.exchange.as_deref().unwrap_or(&empty);
        let pending = exchange.pending.as_ref();
        AccountSnapshot {
            budget: self.budget.clone(),
            shard: self.shard,
            balance: self.balance,
            reserved: self.reserved,
            spent: self.spent,
            unreported: self.unreported,
            lent: exchange.lent,
            borrowed: exchange.borrowed,
            wanted: self.wanted,
            drawing: pending.map_or(TokenCount::ZERO, |pending| pending.drawn),
            reporting: pending.map_or(TokenCount::ZERO, |pending| pending.spent),
            returning: pending.map_or(TokenCount::ZERO, |pending| pending.returned),
            burn_per_s: self.forecast.rate(),
            available,
            generation: exchange.row.generation,
        }
    }
}
