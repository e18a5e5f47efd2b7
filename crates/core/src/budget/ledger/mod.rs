//! Local budget ledger of an instance.

mod account;
mod digest;
mod lending;
mod plan;
mod sync;

use std::collections::{BTreeMap, BTreeSet};

use slotmap::{SlotMap, new_key_type};
use snafu::Snafu;

use crate::{
    base::{BudgetName, HolderId, MonotonicTime, TokenCount},
    budget::{
        AccountSnapshot, LedgerEffect, LedgerEvent, LedgerOptions, LedgerSnapshot, PaidAmount,
        PeerTable, ShardNumber, ShortageSnapshot, TransferTable,
    },
    error::ErrorKind,
};
use account::Account;
use sync::{ReadLimiter, ShardSync};

/// Number of sweeps between two updates of a budget that was not used recently.
const INACTIVE_SWEEP_INTERVAL: u64 = 10;

new_key_type! {
    /// Identifies a registered budget of one ledger.
    pub struct BudgetKey;

    /// Identifies an open reservation of one ledger.
    pub struct ReservationKey;
}

/// Reasons to refuse a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// The balance does not cover the amount. The caller should send [`LedgerEvent::Tick`] at once
    /// to start a refill.
    #[snafu(display("balance does not cover the reservation"))]
    Insufficient {
        /// Whether the caller may wait for [`LedgerEffect::Wake`] and try again.
        retry: bool,
        /// The error kind to return if the caller does not wait or its wait has timed out:
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
    /// Returns the error kind to report to the client.
    #[must_use]
    pub const fn kind(self) -> ErrorKind {
        match self {
            Self::Insufficient { kind, .. } => kind,
            Self::Draining => ErrorKind::Draining,
            Self::UnknownBudget => ErrorKind::Internal,
        }
    }
}

/// Reasons to refuse a settlement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum SettleError {
    /// The reservation has already been settled or cancelled.
    #[snafu(display("reservation is already settled"))]
    AlreadySettled,
}

/// Result of settling a request, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settlement {
    /// The actual cost, but at most the reserved amount.
    pub billed: TokenCount,
    /// The reserved amount; the part that is not billed returns to the balance.
    pub reserved: TokenCount,
    /// The part of the actual cost that exceeds the reservation and is therefore not billed.
    pub excess: TokenCount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Reservation {
    budget: BudgetKey,
    amount: TokenCount,
}

/// Tracks the tokens that one process owns, reserves and spends.
///
/// The ledger performs no I/O: [`handle`](Self::handle) turns events into effects, which the caller
/// carries out.
#[derive(Clone, Debug)]
pub struct BudgetLedger {
    holder: HolderId,
    options: LedgerOptions,
    names: BTreeMap<BudgetName, BudgetKey>,
    accounts: SlotMap<BudgetKey, Account>,
    reservations: SlotMap<ReservationKey, Reservation>,
    transfers: TransferTable,
    peers: PeerTable,
    /// When the last message of each peer arrived.
    last_heard: BTreeMap<HolderId, MonotonicTime>,
    shards: BTreeMap<ShardNumber, ShardSync>,
    platform: sync::PlatformState,
    read_limiter: ReadLimiter,
    /// The budgets in use, which the sweeps update.
    active: Vec<BudgetKey>,
    /// The budgets that are updated on every event.
    urgent: BTreeSet<BudgetKey>,
    last_sweep_at: MonotonicTime,
    sweep_count: u64,
    is_draining: bool,
    effects: Vec<LedgerEffect>,
}

impl BudgetLedger {
    /// Creates an empty ledger for one incarnation of a process.
    #[must_use]
    pub fn new(holder: HolderId, options: LedgerOptions) -> Self {
        let peers = PeerTable::new(&holder, &options.domain, Vec::new());
        Self {
            holder,
            options,
            names: BTreeMap::new(),
            accounts: SlotMap::with_key(),
            reservations: SlotMap::with_key(),
            transfers: TransferTable::default(),
            peers,
            last_heard: BTreeMap::new(),
            shards: BTreeMap::new(),
            platform: sync::PlatformState::default(),
            read_limiter: ReadLimiter::default(),
            active: Vec::new(),
            urgent: BTreeSet::new(),
            last_sweep_at: MonotonicTime::START,
            sweep_count: 0,
            is_draining: false,
            effects: Vec::new(),
        }
    }

    /// Returns the identity of this process.
    #[must_use]
    pub const fn holder(&self) -> &HolderId {
        &self.holder
    }

    /// Returns the key of a budget, registering the budget if it is new.
    pub fn register(&mut self, budget: BudgetName) -> BudgetKey {
        if let Some(key) = self.names.get(&budget) {
            return *key;
        }
        let shard = ShardNumber::of_budget(&budget, self.options.shards);
        let key = self.accounts.insert(Account::new(budget.clone(), shard));
        self.names.insert(budget, key);
        let sync = self.shards.entry(shard).or_insert_with(|| {
            let owner = self.peers.owner(&self.options.domain, shard);
            ShardSync::new(&self.holder, owner)
        });
        sync.budgets.push(key);
        key
    }

    /// Sets the paid amount of a budget from a configuration version. Amounts of older versions are
    /// ignored. The amount is written to the platform with the next draw.
    pub fn set_paid(&mut self, key: BudgetKey, paid: PaidAmount) {
        if let Some(account) = self.accounts.get_mut(key) {
            let known = &mut account.exchange_mut().paid;
            if known.is_none_or(|known| known.version < paid.version) {
                *known = Some(paid);
            }
        }
    }

    /// Moves `amount` tokens from the balance to a reservation. Must be called before anything is
    /// sent upstream.
    ///
    /// # Errors
    ///
    /// Returns [`ReserveError::Insufficient`] if the balance is too small,
    /// [`ReserveError::Draining`] after [`LedgerEvent::DrainStarted`], and
    /// [`ReserveError::UnknownBudget`] if the key is not from this ledger.
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
        if !account.is_active {
            account.is_active = true;
            self.active.push(key);
        }
        if account.reserve(amount, now) {
            return Ok(self.reservations.insert(Reservation {
                budget: key,
                amount,
            }));
        }
        let error = self.explain_refusal(key, amount, now);
        if let Some(account) = self.accounts.get_mut(key) {
            account.add_wanted(amount, now);
        }
        self.urgent.insert(key);
        Err(error)
    }

    /// Removes the demand of a refused request that no longer waits for tokens. Otherwise all
    /// requests refused during an outage would count as demand after it.
    pub fn cancel_demand(&mut self, key: BudgetKey, amount: TokenCount) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.wanted = account.wanted.saturating_sub(amount);
        }
    }

    /// Returns the refusal for a reservation, based on the last read: whether waiting may help and
    /// whether the budget is exhausted or unavailable.
    fn explain_refusal(
        &self,
        key: BudgetKey,
        amount: TokenCount,
        now: MonotonicTime,
    ) -> ReserveError {
        let account = &self.accounts[key];
        let sync = self.shards.get(&account.shard);
        let cached = sync.and_then(|sync| sync.cached.as_ref());
        let (Some(cached), Some(totals)) = (cached, self.totals(account)) else {
            return ReserveError::Insufficient {
                retry: true,
                kind: ErrorKind::BudgetUnavailable,
            };
        };
        let used = totals.spent.saturating_add(account.unsent());
        let is_exhausted = totals.paid.saturating_sub(used) < amount;
        let is_fresh = now.since(cached.read_at) < self.options.reread_period;
        ReserveError::Insufficient {
            retry: !(is_exhausted && is_fresh),
            kind: match is_exhausted {
                true => ErrorKind::BudgetExhausted,
                false => ErrorKind::BudgetUnavailable,
            },
        }
    }

    /// Bills the actual cost of a request and releases the rest of its reservation.
    ///
    /// # Errors
    ///
    /// Returns [`SettleError::AlreadySettled`] if the reservation was settled or cancelled before.
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
        let billed = actual.min(amount);
        if let Some(account) = self.accounts.get_mut(budget) {
            account.settle(amount, billed, now);
            // The budget is still active and swept, since it had an open reservation.
            if self.is_draining || !account.need().is_zero() {
                self.urgent.insert(budget);
            }
        }
        Ok(Settlement {
            billed,
            reserved: amount,
            excess: actual.saturating_sub(billed),
        })
    }

    /// Releases a reservation for which nothing was sent upstream. Idempotent.
    pub fn cancel(&mut self, reservation: ReservationKey, now: MonotonicTime) {
        // An error means that the reservation is already settled or cancelled.
        let _ = self.settle(reservation, TokenCount::ZERO, now);
    }

    /// Handles an event and returns the effects that the caller must carry out.
    pub fn handle(&mut self, event: LedgerEvent, now: MonotonicTime) -> Vec<LedgerEffect> {
        match event {
            LedgerEvent::Tick => self.sweep(now),
            LedgerEvent::ShardRead {
                shard,
                version,
                value,
            } => {
                self.on_shard_read(shard, version, value, now);
            }
            LedgerEvent::WriteAccepted { shard, version } => {
                self.on_write_accepted(shard, version, now);
            }
            LedgerEvent::WriteConflict { shard } => self.on_write_unresolved(shard, true, now),
            LedgerEvent::WriteUnknown { shard } => self.on_write_unresolved(shard, false, now),
            LedgerEvent::PlatformDown { shard } => self.on_platform_down(shard, now),
            LedgerEvent::PeersChanged(peers) => {
                self.peers = PeerTable::new(&self.holder, &self.options.domain, peers);
                self.last_heard
                    .retain(|holder, _| self.peers.contains(holder));
                self.refresh_owners();
            }
            LedgerEvent::Received { from, to, message } => {
                self.on_message(&from, &to, message, now)
            }
            LedgerEvent::DrainStarted => self.start_drain(),
        }
        self.update_urgent(now);
        std::mem::take(&mut self.effects)
    }

    /// Resends due transfers and, once per flush period, updates the budgets in use.
    fn sweep(&mut self, now: MonotonicTime) {
        for (to, message) in self.transfers.due(now, self.options.resend_max) {
            self.effects.push(LedgerEffect::Send { to, message });
        }
        if now.since(self.last_sweep_at) < self.options.flush_period {
            return;
        }
        self.last_sweep_at = now;
        self.sweep_count = self.sweep_count.wrapping_add(1);
        let mut keys = std::mem::take(&mut self.active);
        let due: Vec<BudgetKey> = (self.sweep_count..)
            .zip(&keys)
            .filter(|(turn, key)| {
                turn % INACTIVE_SWEEP_INTERVAL == 0 || self.accounts[**key].is_recently_used(now)
            })
            .map(|(_, key)| *key)
            .collect();
        for key in &due {
            self.update_account(*key, now);
        }
        for key in &due {
            self.sync_shard(self.accounts[*key].shard, now);
        }
        let accounts = &mut self.accounts;
        keys.retain(|key| {
            let account = &mut accounts[*key];
            account.is_active = !account.is_idle();
            account.is_active
        });
        keys.append(&mut self.active);
        self.active = keys;
    }

    /// Returns whether requests or borrowers wait for tokens, so that ticks should come sooner.
    #[must_use]
    pub fn has_demand(&self) -> bool {
        !self.urgent.is_empty()
    }

    /// Updates the budgets that requests, borrowers or a drain are waiting for.
    fn update_urgent(&mut self, now: MonotonicTime) {
        let keys = std::mem::take(&mut self.urgent);
        for key in keys {
            self.activate(key);
            self.update_account(key, now);
            self.sync_shard(self.accounts[key].shard, now);
            let account = &self.accounts[key];
            let needs_drain = self.is_draining && (!account.is_idle() || account.has_row());
            if needs_drain || !account.need().is_zero() {
                self.urgent.insert(key);
            }
        }
    }

    fn activate(&mut self, key: BudgetKey) {
        let account = &mut self.accounts[key];
        if !account.is_active {
            account.is_active = true;
            self.active.push(key);
        }
    }

    fn start_drain(&mut self) {
        self.is_draining = true;
        let accounts = self.accounts.iter();
        let undrained = accounts.filter(|(_, account)| !account.is_idle() || account.has_row());
        self.urgent.extend(undrained.map(|(key, _)| key));
    }

    /// Returns whether the drain is complete: no reservation is open, all tokens and reports are
    /// handed over, and every transfer to a live peer is acknowledged.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let is_down = self.platform.is_down();
        let is_released = |account: &Account| account.is_idle() && (is_down || !account.has_row());
        let mut transfers = self.transfers.open_transfers();
        self.is_draining
            && self.reservations.is_empty()
            && transfers.all(|transfer| !self.peers.contains(&transfer.to))
            && self.accounts.values().all(is_released)
    }

    /// Returns a snapshot of one budget, for logs.
    #[must_use]
    pub fn account(&self, key: BudgetKey) -> Option<AccountSnapshot> {
        let account = self.accounts.get(key)?;
        let available = self.totals(account).map(|totals| totals.available);
        Some(account.snapshot(available))
    }

    /// Describes what this instance knew when a reservation failed, for logs.
    #[must_use]
    pub fn shortage(&self, key: BudgetKey, now: MonotonicTime) -> Option<ShortageSnapshot> {
        let account = self.accounts.get(key)?;
        let sync = self.shards.get(&account.shard)?;
        let heard = sync
            .owner
            .as_ref()
            .and_then(|owner| self.last_heard.get(owner));
        let exchange = account.exchange.as_deref();
        Some(ShortageSnapshot {
            uptime: now.since(MonotonicTime::START),
            is_owner: self.is_owner(account),
            owner_heard: heard.map(|at| now.since(*at)),
            is_platform_away: self.platform.is_down(),
            read_age: sync.cached.as_ref().map(|cached| now.since(cached.read_at)),
            held: self.totals(account).map(|totals| totals.held),
            owner_requests: exchange.map_or(0, |exchange| exchange.ask_count),
            searches: exchange.map_or(0, |exchange| exchange.failed_searches),
            is_scarce: exchange.is_some_and(|exchange| now < exchange.scarce_until),
        })
    }

    /// Returns a snapshot of the ledger, for state dumps.
    #[must_use]
    pub fn snapshot(&self) -> LedgerSnapshot {
        let accounts = self.names.values().map(|key| &self.accounts[*key]);
        let used = accounts.filter(|account| account.exchange.is_some());
        let available = |account| self.totals(account).map(|totals| totals.available);
        LedgerSnapshot {
            holder: self.holder.clone(),
            is_platform_away: self.platform.is_down(),
            is_draining: self.is_draining,
            budgets: self.accounts.len(),
            accounts: used
                .map(|account| account.snapshot(available(account)))
                .collect(),
            transfers: self.transfers.open_transfers().collect(),
        }
    }
}
