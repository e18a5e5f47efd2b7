//! Local ledger of an instance.

mod account;

use std::collections::BTreeMap;

use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{
        LedgerEffect, LedgerEvent, LedgerOptions, LedgerSnapshot, ShardNumber, TransferTable,
    },
    error::ErrorKind,
};
use account::Account;

new_key_type! {
    /// Identifies a registered budget of one ledger.
    pub struct BudgetKey;

    /// Identifies an open reservation of one ledger.
    pub struct ReservationKey;
}

/// Reports why a reservation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// The balance does not cover the amount. A refill was started if `retry` is true.
    #[snafu(display("balance does not cover the reservation"))]
    Insufficient {
        /// Whether the caller may wait for [`LedgerEffect::Wake`] and try again.
        retry: bool,
        /// The refusal if the caller does not wait or has waited long enough:
        /// `budget_exhausted` or `budget_unavailable`.
        kind: ErrorKind,
    },
    /// The instance is draining.
    #[snafu(display("ledger is draining"))]
    Draining,
    /// The key belongs to another ledger.
    #[snafu(display("budget is not registered"))]
    UnknownBudget,
}

impl ReserveError {
    /// Returns the refusal for the caller.
    #[must_use]
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::Insufficient { kind, .. } => kind,
            Self::Draining => ErrorKind::Draining,
            Self::UnknownBudget => ErrorKind::Internal,
        }
    }
}

/// Reports why a settlement is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SettleError {
    /// The reservation was settled or cancelled before.
    #[snafu(display("reservation is already settled"))]
    AlreadySettled,
}

/// Describes what a request was billed, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settlement {
    /// The billed tokens.
    pub billed: TokenCount,
    /// The reserved tokens.
    pub reserved: TokenCount,
    /// The part of the actual cost that is not billed because it exceeds the reservation.
    pub excess: TokenCount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reservation {
    budget: BudgetKey,
    amount: TokenCount,
}

/// Tracks the tokens that one process owns, reserves and spends.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    holder: HolderId,
    options: LedgerOptions,
    names: BTreeMap<BudgetName, BudgetKey>,
    accounts: SlotMap<BudgetKey, Account>,
    reservations: SlotMap<ReservationKey, Reservation>,
    transfers: TransferTable,
    is_draining: bool,
}

impl BudgetLedger {
    /// Creates a ledger without tokens for one incarnation of a process.
    #[must_use]
    pub fn new(holder: HolderId, options: LedgerOptions) -> Self {
        Self {
            holder,
            options,
            names: BTreeMap::new(),
            accounts: SlotMap::with_key(),
            reservations: SlotMap::with_key(),
            transfers: TransferTable::default(),
            is_draining: false,
        }
    }

    /// Returns the identity of the process.
    #[must_use]
    pub const fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Returns the key of a budget and registers it if it is new.
    pub fn register(&mut self, budget: BudgetName) -> BudgetKey {
        if let Some(key) = self.names.get(&budget) {
            return *key;
        }
        let shard = ShardNumber::of_budget(&budget, self.options.shards);
        let key = self.accounts.insert(Account::new(budget.clone(), shard));
        self.names.insert(budget, key);
        key
    }

    /// Moves `amount` tokens from the balance to a reservation, before anything is sent upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ReserveError::Insufficient`] if the balance is too small; the next tick or event
    /// then starts a refill.
    pub fn reserve(
        &mut self,
        key: BudgetKey,
        amount: TokenCount,
        now: MonotonicTime,
    ) -> Result<ReservationKey, ReserveError> {
        if self.is_draining {
            return Err(ReserveError::Draining);
        }
        let account = self
            .accounts
            .get_mut(key)
            .ok_or(ReserveError::UnknownBudget)?;
        let _ = now;
        let Some(balance) = account.balance.checked_sub(amount) else {
            return Err(ReserveError::Insufficient {
                retry: true,
                kind: ErrorKind::BudgetUnavailable,
            });
        };
        account.balance = balance;
        account.reserved = account.reserved.saturating_add(amount);
        Ok(self.reservations.insert(Reservation {
            budget: key,
            amount,
        }))
    }

    /// Bills the actual cost of a request once and frees the rest of its reservation.
    ///
    /// # Errors
    ///
    /// Returns [`SettleError::AlreadySettled`] if the request was settled or cancelled before.
    pub fn settle(
        &mut self,
        reservation: ReservationKey,
        actual: TokenCount,
        now: MonotonicTime,
    ) -> Result<Settlement, SettleError> {
        let Reservation { budget, amount } = self
            .reservations
            .remove(reservation)
            .ok_or(SettleError::AlreadySettled)?;
        let _ = now;
        let billed = actual.min(amount);
        if let Some(account) = self.accounts.get_mut(budget) {
            account.reserved = account.reserved.saturating_sub(amount);
            account.balance = account
                .balance
                .saturating_add(amount.saturating_sub(billed));
            account.spent = account.spent.saturating_add(billed);
        }
        Ok(Settlement {
            billed,
            reserved: amount,
            excess: actual.saturating_sub(billed),
        })
    }

    /// Frees a reservation because nothing was sent upstream. A second call changes nothing.
    pub fn cancel(&mut self, reservation: ReservationKey, now: MonotonicTime) {
        // A reservation that is already settled or cancelled needs no further step.
        let _ = self.settle(reservation, TokenCount::ZERO, now);
    }

    /// Reacts to an event.
    pub fn handle(&mut self, event: LedgerEvent, now: MonotonicTime) -> Vec<LedgerEffect> {
        let _ = (event, now);
        Vec::new()
    }

    /// Returns whether a draining ledger has given up everything it can: no reservation is open,
    /// all tokens and reports left, and every transfer to a live peer arrived.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.reservations.is_empty() && self.transfers.is_empty()
    }

    /// Describes the state of the ledger for the dump.
    #[must_use]
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot {
            holder: self.holder.clone(),
            is_platform_away: false,
            is_draining: self.is_draining,
            budgets: self.accounts.len(),
            accounts: self.accounts.values().map(Account::snapshot).collect(),
            transfers: Vec::new(),
        }
    }
}
