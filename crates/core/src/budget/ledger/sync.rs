//! Synchronisation of a ledger with the platform: reads, conditional writes and the recovery from
//! lost responses.

use std::time::Duration;

use super::{
    BudgetKey, BudgetLedger,
    account::{Account, RowChange},
    plan::{RowPlan, Urgency},
};
use crate::{
    base::{HolderId, MonotonicTime},
    budget::{BudgetEntry, HolderRow, LedgerEffect, ShardNumber, ShardValue},
};

/// Inverse weight of a new sample in the moving average of the platform call delay.
const DELAY_AVERAGE_DIVISOR: u32 = 8;

/// The last known version and content of a shard object.
#[derive(Clone, Debug, Hash)]
pub(super) struct CachedShard {
    version: u64,
    pub(super) value: ShardValue,
    pub(super) read_at: MonotonicTime,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
enum ShardCall {
    #[default]
    Idle,
    Reading {
        since: MonotonicTime,
    },
    Writing {
        since: MonotonicTime,
        expected: u64,
    },
}

impl ShardCall {
    /// Returns when the call was started.
    const fn since(self) -> Option<MonotonicTime> {
        match self {
            Self::Idle => None,
            Self::Reading { since } | Self::Writing { since, .. } => Some(since),
        }
    }
}

/// A write of this instance's rows whose result is not known yet.
#[derive(Clone, Copy, Debug, Hash)]
struct WriteAttempt {
    /// The highest object version on which any transmission of this write was conditional.
    expected: u64,
    send_count: u32,
}

/// Tracks the synchronisation of one shard with the platform.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct ShardSync {
    pub(super) budgets: Vec<BudgetKey>,
    pub(super) cached: Option<CachedShard>,
    /// The shard owner in this instance's domain; cached because a sweep needs it for every budget.
    pub(super) owner: Option<HolderId>,
    /// Whether this instance is the shard owner.
    pub(super) is_own: bool,
    call: ShardCall,
    attempt: Option<WriteAttempt>,
    /// Whether the last read returned an older version than the cached one.
    was_read_stale: bool,
    last_write_at: Option<MonotonicTime>,
}

impl ShardSync {
    /// Creates the state of a shard that has not been read yet.
    pub(super) fn new(own: &HolderId, owner: Option<&HolderId>) -> Self {
        Self {
            owner: owner.cloned(),
            is_own: owner == Some(own),
            ..Self::default()
        }
    }
}

/// Tracks whether the platform is reachable, and the delay of its calls.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct PlatformState {
    retry_at: Option<MonotonicTime>,
    backoff: Duration,
    pub(super) delay: Duration,
}

impl PlatformState {
    pub(super) const fn is_down(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Returns whether the platform is down and its next retry is not due yet.
    pub(super) fn is_backing_off(&self, now: MonotonicTime) -> bool {
        self.retry_at.is_some_and(|until| now < until)
    }

    fn observe(&mut self, since: MonotonicTime, now: MonotonicTime) {
        let delay = now.since(since);
        self.delay =
            self.delay - self.delay / DELAY_AVERAGE_DIVISOR + delay / DELAY_AVERAGE_DIVISOR;
        self.retry_at = None;
        self.backoff = Duration::ZERO;
    }
}

/// Burst size of the read limiter in seconds of its rate, which allows a start with many budgets.
const READ_BURST_SECONDS: f64 = 4.0;

/// Limits the read rate of an instance with a token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadLimiter {
    used: f64,
    updated: MonotonicTime,
}

impl ReadLimiter {
    /// Acquires one read if the limit allows it. Reads that no request waits for may use only half
    /// of the burst.
    fn try_acquire(&mut self, rate: f64, is_urgent: bool, now: MonotonicTime) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let freed = now.since(self.updated).as_secs_f64() * rate;
        self.used = (self.used - freed).max(0.0);
        self.updated = now;
        let burst = match is_urgent {
            true => rate * READ_BURST_SECONDS,
            false => rate * READ_BURST_SECONDS / 2.0,
        };
        let is_free = self.used + 1.0 <= burst.max(1.0);
        if is_free {
            self.used += 1.0;
        }
        is_free
    }
}

impl BudgetLedger {
    /// Returns whether the platform is down, or a call has taken longer than requests wait for
    /// tokens. A call to an unreachable platform may take seconds to fail.
    pub(super) fn is_platform_away(&self, now: MonotonicTime) -> bool {
        let patience = self.options.end_wait;
        let mut calls = self.shards.values().filter_map(|sync| sync.call.since());
        self.platform.is_down() || calls.any(|since| now.since(since) > patience)
    }

    /// Recomputes the shard owners after the set of live instances has changed.
    pub(super) fn refresh_owners(&mut self) {
        for (shard, sync) in &mut self.shards {
            let owner = self.peers.owner(&self.options.domain, *shard);
            sync.is_own = owner == Some(&self.holder);
            sync.owner = owner.cloned();
        }
    }

    /// Starts the next platform call for a shard if one is due.
    pub(super) fn sync_shard(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get(&shard) else {
            return;
        };
        if sync.call != ShardCall::Idle || self.platform.is_backing_off(now) {
            return;
        }
        if sync.attempt.is_some() {
            self.start_read(shard, true, now);
            return;
        }
        let age = sync.cached.as_ref().map(|cached| now.since(cached.read_at));
        let keys = sync
            .budgets
            .iter()
            .filter(|key| self.accounts[**key].is_active);
        let plans: Vec<(BudgetKey, RowPlan)> =
            keys.map(|key| (*key, self.plan_row(*key, now))).collect();
        let urgency = plans.iter().map(|(_, plan)| plan.urgency).max();
        let period = match urgency {
            Some(Urgency::Now) => self.options.urgent_period,
            Some(Urgency::Soon) => self.options.flush_period,
            Some(Urgency::Later) | None => {
                let mut limits = plans.iter().filter_map(|(_, plan)| plan.read_after);
                if limits.any(|limit| age.is_none_or(|age| age >= limit)) {
                    self.start_read(shard, true, now);
                }
                return;
            }
        };
        if sync.last_write_at.is_some_and(|at| now.since(at) < period) {
            return;
        }
        match age {
            Some(age) if age <= self.options.cache_age => self.start_write(shard, &plans, now),
            Some(_) if urgency == Some(Urgency::Now) => {
                // If the read limit is reached, a write on top of an old value is still attempted.
                if !self.start_read(shard, true, now) {
                    self.start_write(shard, &plans, now);
                }
            }
            _ => {
                self.start_read(shard, urgency == Some(Urgency::Now), now);
            }
        }
    }

    /// Starts a read if the read limiter allows it. Returns whether it did.
    fn start_read(&mut self, shard: ShardNumber, is_urgent: bool, now: MonotonicTime) -> bool {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return false;
        };
        if !self
            .read_limiter
            .try_acquire(self.options.read_rate, is_urgent, now)
        {
            return false;
        }
        sync.call = ShardCall::Reading { since: now };
        let is_latest = sync.attempt.is_some() || sync.was_read_stale;
        self.effects
            .push(LedgerEffect::ReadShard { is_latest, shard });
        true
    }

    fn start_write(
        &mut self,
        shard: ShardNumber,
        plans: &[(BudgetKey, RowPlan)],
        now: MonotonicTime,
    ) {
        for (key, plan) in plans {
            let account = &mut self.accounts[*key];
            if plan.change != RowChange::default() || !account.unreported.is_zero() {
                account.stage_row(&self.holder, plan.change);
            }
        }
        if let Some(sync) = self.shards.get_mut(&shard) {
            sync.attempt = Some(WriteAttempt {
                expected: 0,
                send_count: 0,
            });
        }
        self.send_write(shard, now);
    }

    /// Sends the pending rows, conditional on the cached object version.
    fn send_write(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let (Some(cached), Some(attempt)) = (&sync.cached, &mut sync.attempt) else {
            return;
        };
        let mut value = cached.value.clone();
        apply_pending(
            &mut value,
            sync.budgets.iter().map(|key| &self.accounts[*key]),
        );
        attempt.expected = cached.version;
        attempt.send_count += 1;
        sync.call = ShardCall::Writing {
            since: now,
            expected: cached.version,
        };
        let expected_version = cached.version;
        self.effects.push(LedgerEffect::WriteShard {
            shard,
            expected_version,
            value,
        });
    }

    /// Handles the result of a read and resolves the write that waited for it.
    pub(super) fn on_shard_read(
        &mut self,
        shard: ShardNumber,
        version: u64,
        value: ShardValue,
        now: MonotonicTime,
    ) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let ShardCall::Reading { since } = sync.call else {
            return;
        };
        sync.call = ShardCall::Idle;
        self.platform.observe(since, now);
        // A delayed read may return an older version than the cached one; its content is ignored.
        let known = sync.cached.as_ref().map(|cached| cached.version);
        sync.was_read_stale = known.is_some_and(|known| version < known);
        if !sync.was_read_stale {
            sync.cached = Some(CachedShard {
                version,
                value,
                read_at: now,
            });
            self.resolve_attempt(shard, version, now);
            self.replace_closed_rows(shard, now);
        }
        self.finish_call(shard, now);
    }

    /// Determines the outcome of an unresolved write from the version and rows just read.
    fn resolve_attempt(&mut self, shard: ShardNumber, version: u64, now: MonotonicTime) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let (Some(attempt), Some(cached)) = (sync.attempt, &sync.cached) else {
            return;
        };
        // No transmission was conditional on a version above `attempt.expected`. Once the object
        // has a higher version, none of them can take effect any more. Until then an earlier one
        // may, so only identical rows are sent again.
        if version <= attempt.expected {
            return self.send_write(shard, now);
        }
        sync.attempt = None;
        for key in &sync.budgets {
            let account = &mut self.accounts[*key];
            let entry = cached.value.budgets.get(&account.budget);
            match determine_outcome(account, entry) {
                WriteOutcome::NoChange => {}
                WriteOutcome::Applied => account.commit_row(now),
                WriteOutcome::NotApplied => account.roll_back_row(),
                WriteOutcome::Unknown => account.discard_row(now),
            }
        }
    }

    /// Opens a new row for each budget whose current row was sealed or folded by an operator.
    fn replace_closed_rows(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get(&shard) else {
            return;
        };
        let (Some(cached), None) = (&sync.cached, sync.attempt) else {
            return;
        };
        for key in &sync.budgets {
            let account = &mut self.accounts[*key];
            let entry = cached.value.budgets.get(&account.budget);
            let Some(generation) = account
                .exchange
                .as_ref()
                .map(|exchange| exchange.row.generation)
            else {
                continue;
            };
            match entry.and_then(|entry| entry.row(&self.holder, generation)) {
                Some(row) if row.sealed => account.open_generation(),
                None if account.has_row() => account.discard_row(now),
                Some(_) | None => {}
            }
        }
    }

    pub(super) fn on_write_accepted(
        &mut self,
        shard: ShardNumber,
        version: u64,
        now: MonotonicTime,
    ) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let ShardCall::Writing { since, expected } = sync.call else {
            return;
        };
        if version <= expected {
            return;
        }
        sync.call = ShardCall::Idle;
        sync.attempt = None;
        // Rejected writes do not update this time, so they are retried right after the next read.
        sync.last_write_at = Some(now);
        self.platform.observe(since, now);
        if let Some(cached) = &mut sync.cached {
            let accounts = sync.budgets.iter().map(|key| &self.accounts[*key]);
            apply_pending(&mut cached.value, accounts);
            cached.version = version;
            cached.read_at = now;
        }
        for key in &sync.budgets {
            let account = &mut self.accounts[*key];
            if account
                .exchange
                .as_ref()
                .is_some_and(|exchange| exchange.pending.is_some())
            {
                account.commit_row(now);
            }
        }
        self.finish_call(shard, now);
    }

    /// Reads the shard again after a write that was rejected or whose result is unknown.
    pub(super) fn on_write_unresolved(
        &mut self,
        shard: ShardNumber,
        is_answered: bool,
        now: MonotonicTime,
    ) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let ShardCall::Writing { since, .. } = sync.call else {
            return;
        };
        sync.call = ShardCall::Idle;
        if is_answered {
            self.platform.observe(since, now);
        }
        self.start_read(shard, true, now);
    }

    /// Handles a call that was not carried out: backs off before the next call to the platform.
    pub(super) fn on_platform_down(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let is_first = sync.attempt.is_some_and(|attempt| attempt.send_count == 1);
        let is_not_applied = is_first && matches!(sync.call, ShardCall::Writing { .. });
        sync.call = ShardCall::Idle;
        if is_not_applied {
            sync.attempt = None;
            for key in &sync.budgets {
                self.accounts[*key].roll_back_row();
            }
        }
        let options = &self.options;
        self.platform.backoff =
            (self.platform.backoff * 2).clamp(options.platform_retry, options.platform_retry_max);
        self.platform.retry_at = Some(now + self.platform.backoff);
        let budgets = self.shards.get(&shard).map(|sync| sync.budgets.clone());
        for key in budgets.into_iter().flatten() {
            if !self.accounts[key].need().is_zero() || self.is_draining {
                self.update_account(key, now);
            }
        }
    }

    /// Updates the active budgets of the shard after a call, and starts the next call if one is
    /// due.
    fn finish_call(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let budgets = self.shards.get(&shard).map(|sync| sync.budgets.clone());
        for key in budgets.into_iter().flatten() {
            if self.accounts[key].is_active {
                self.update_account(key, now);
            }
        }
        self.sync_shard(shard, now);
    }
}

/// Applies the pending rows of the accounts to a shard value.
fn apply_pending<'a>(value: &mut ShardValue, accounts: impl Iterator<Item = &'a Account>) {
    for account in accounts {
        let Some(pending) = account
            .exchange
            .as_ref()
            .and_then(|exchange| exchange.pending.as_ref())
        else {
            continue;
        };
        let entry = value.budgets.entry(account.budget.clone()).or_default();
        if let Some(paid) = account.exchange.as_ref().and_then(|exchange| exchange.paid) {
            entry.set_paid(paid);
        }
        match pending.is_closing {
            true => entry.close_row(&pending.row),
            false => entry.put_row(pending.row.clone()),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteOutcome {
    NoChange,
    Applied,
    NotApplied,
    Unknown,
}

/// Determines whether the entry that was read contains the pending change of an account, given that
/// no transmission of it can take effect any more.
fn determine_outcome(account: &Account, entry: Option<&BudgetEntry>) -> WriteOutcome {
    let Some(exchange) = &account.exchange else {
        return WriteOutcome::NoChange;
    };
    let Some(pending) = &exchange.pending else {
        return WriteOutcome::NoChange;
    };
    let found: Option<&HolderRow> =
        entry.and_then(|entry| entry.row(&pending.row.holder, pending.row.generation));
    match found {
        Some(row) if row.sequence >= pending.row.sequence => WriteOutcome::Applied,
        Some(_) => WriteOutcome::NotApplied,
        // An unsealed row is removed only by its own closing write.
        None if pending.is_closing => WriteOutcome::Applied,
        None if exchange.row.is_stored => WriteOutcome::Unknown,
        None => WriteOutcome::NotApplied,
    }
}
