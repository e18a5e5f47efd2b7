//! Local ledger of an instance.

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
        PeerTable, ShardNumber, TransferTable,
    },
    error::ErrorKind,
};
use account::Account;
use sync::{ReadQuota, ShardSync};

/// Sweeps after which a budget that was not used lately is visited again.
const REST_SWEEPS: u64 = 10;

new_key_type! {
    /// Identifies a registered budget of one ledger.
    pub struct BudgetKey;

    /// Identifies an open reservation of one ledger.
    pub struct ReservationKey;
}

/// Reports why a reservation is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// The balance does not cover the amount. The caller sends [`LedgerEvent::Tick`] at once, which
    /// starts a refill.
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
    peers: PeerTable,
    /// When each peer was heard last.
    heard: BTreeMap<HolderId, MonotonicTime>,
    shards: BTreeMap<ShardNumber, ShardSync>,
    platform: sync::PlatformState,
    quota: ReadQuota,
    /// The budgets in use, which every sweep visits.
    active: Vec<BudgetKey>,
    /// The budgets that every event visits.
    urgent: BTreeSet<BudgetKey>,
    swept_at: MonotonicTime,
    sweeps: u64,
    is_draining: bool,
    effects: Vec<LedgerEffect>,
}

impl BudgetLedger {
    /// Creates a ledger without tokens for one incarnation of a process.
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
            heard: BTreeMap::new(),
            shards: BTreeMap::new(),
            platform: sync::PlatformState::default(),
            quota: ReadQuota::default(),
            active: Vec::new(),
            urgent: BTreeSet::new(),
            swept_at: MonotonicTime::START,
            sweeps: 0,
            is_draining: false,
            effects: Vec::new(),
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
        let sync = self.shards.entry(shard).or_insert_with(|| {
            let owner = self.peers.owner(&self.options.domain, shard);
            ShardSync::new(&self.holder, owner)
        });
        sync.budgets.push(key);
        key
    }

    /// Sets the paid amount of a budget as a configuration version states it. An amount of an older
    /// version is ignored. It reaches the platform with the next draw.
    pub fn set_paid(&mut self, key: BudgetKey, paid: PaidAmount) {
        if let Some(account) = self.accounts.get_mut(key) {
            let known = &mut account.work().paid;
            if known.is_none_or(|known| known.version < paid.version) {
                *known = Some(paid);
            }
        }
    }

    /// Moves `amount` tokens from the balance to a reservation, before anything is sent upstream.
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

    /// Records that a request whose reservation was refused no longer waits for tokens. Otherwise
    /// the refusals of a whole outage would count as need after it.
    pub fn cancel_demand(&mut self, key: BudgetKey, amount: TokenCount) {
        if let Some(account) = self.accounts.get_mut(key) {
            account.wanted = account.wanted.saturating_sub(amount);
        }
    }

    /// Tells from the last read whether tokens may be found by waiting.
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
        let billed = actual.min(amount);
        if let Some(account) = self.accounts.get_mut(budget) {
            account.settle(amount, billed, now);
            // A budget becomes inactive only without reservations, so it is still swept.
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

    /// Frees a reservation because nothing was sent upstream. A second call changes nothing.
    pub fn cancel(&mut self, reservation: ReservationKey, now: MonotonicTime) {
        // A reservation that is already settled or cancelled needs no further step.
        let _ = self.settle(reservation, TokenCount::ZERO, now);
    }

    /// Reacts to an event.
    pub fn handle(&mut self, event: LedgerEvent, now: MonotonicTime) -> Vec<LedgerEffect> {
        match event {
            LedgerEvent::Tick => self.sweep(now),
            LedgerEvent::ShardRead {
                shard,
                version,
                value,
            } => {
                self.take_read(shard, version, value, now);
            }
            LedgerEvent::WriteAccepted { shard, version } => {
                self.take_accepted(shard, version, now);
            }
            LedgerEvent::WriteConflict { shard } => self.take_unresolved(shard, true, now),
            LedgerEvent::WriteUnknown { shard } => self.take_unresolved(shard, false, now),
            LedgerEvent::PlatformDown { shard } => self.take_down(shard, now),
            LedgerEvent::PeersChanged(peers) => {
                self.peers = PeerTable::new(&self.holder, &self.options.domain, peers);
                self.heard.retain(|holder, _| self.peers.contains(holder));
                self.refresh_owners();
            }
            LedgerEvent::Received { from, to, message } => self.receive(&from, &to, message, now),
            LedgerEvent::DrainStarted => self.start_drain(),
        }
        self.visit_urgent(now);
        std::mem::take(&mut self.effects)
    }

    /// Resends due transfers and, once per flush period, visits the budgets in use.
    fn sweep(&mut self, now: MonotonicTime) {
        for (to, message) in self.transfers.due(now, self.options.resend_max) {
            self.effects.push(LedgerEffect::Send { to, message });
        }
        if now.since(self.swept_at) < self.options.flush_period {
            return;
        }
        self.swept_at = now;
        self.sweeps = self.sweeps.wrapping_add(1);
        let mut keys = std::mem::take(&mut self.active);
        let due: Vec<BudgetKey> = (self.sweeps..)
            .zip(&keys)
            .filter(|(turn, key)| turn % REST_SWEEPS == 0 || self.accounts[**key].is_recent(now))
            .map(|(_, key)| *key)
            .collect();
        for key in &due {
            self.visit(*key, now);
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

    /// Visits the budgets that requests, borrowers or a drain wait for.
    fn visit_urgent(&mut self, now: MonotonicTime) {
        let keys = std::mem::take(&mut self.urgent);
        for key in keys {
            self.activate(key);
            self.visit(key, now);
            self.sync_shard(self.accounts[key].shard, now);
            let account = &self.accounts[key];
            let is_leaving = self.is_draining && (!account.is_idle() || account.has_row());
            if is_leaving || !account.need().is_zero() {
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
        let leaving = accounts.filter(|(_, account)| !account.is_idle() || account.has_row());
        self.urgent.extend(leaving.map(|(key, _)| key));
    }

    /// Returns whether a draining ledger has given up everything it can: no reservation is open,
    /// all tokens and reports left, and every transfer to a live peer arrived.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        let is_away = self.platform.is_away();
        let has_left = |account: &Account| account.is_idle() && (is_away || !account.has_row());
        let mut transfers = self.transfers.open_transfers();
        self.is_draining
            && self.reservations.is_empty()
            && transfers.all(|transfer| !self.peers.contains(&transfer.to))
            && self.accounts.values().all(has_left)
    }

    /// Describes one budget, for logs.
    #[must_use]
    pub fn account(&self, key: BudgetKey) -> Option<AccountSnapshot> {
        let account = self.accounts.get(key)?;
        let available = self.totals(account).map(|totals| totals.available);
        Some(account.snapshot(available))
    }

    /// Describes the state of the ledger for the dump.
    #[must_use]
    pub fn snapshot(&self) -> LedgerSnapshot {
        let accounts = self.names.values().map(|key| &self.accounts[*key]);
        let used = accounts.filter(|account| account.work.is_some());
        let available = |account| self.totals(account).map(|totals| totals.available);
        LedgerSnapshot {
            holder: self.holder.clone(),
            is_platform_away: self.platform.is_away(),
            is_draining: self.is_draining,
            budgets: self.accounts.len(),
            accounts: used
                .map(|account| account.snapshot(available(account)))
                .collect(),
            transfers: self.transfers.open_transfers().collect(),
        }
    }
}
