//! Exchange of a ledger with the platform: reads, conditional writes and lost answers.

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

/// Part of a new delay in the measured delay of platform calls: one in this many.
const DELAY_WEIGHT: u32 = 8;

/// Describes a shard object as last seen.
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

/// A write of own rows whose result is not known.
#[derive(Clone, Copy, Debug, Hash)]
struct WriteAttempt {
    /// The highest version that any sending of this write expected.
    expected: u64,
    sendings: u32,
}

/// Tracks the exchange with the platform about one shard.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct ShardSync {
    pub(super) budgets: Vec<BudgetKey>,
    pub(super) cached: Option<CachedShard>,
    /// The shard owner in the own domain; kept because a sweep needs it for every budget.
    pub(super) owner: Option<HolderId>,
    /// Whether this instance is the shard owner.
    pub(super) is_own: bool,
    call: ShardCall,
    attempt: Option<WriteAttempt>,
    /// Whether the last read returned an older value than was known.
    was_outdated: bool,
    wrote_at: Option<MonotonicTime>,
}

impl ShardSync {
    /// Creates the state of a shard that was not read yet.
    pub(super) fn new(own: &HolderId, owner: Option<&HolderId>) -> Self {
        Self {
            owner: owner.cloned(),
            is_own: owner == Some(own),
            ..Self::default()
        }
    }
}

/// Tells whether the platform answers.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub(super) struct PlatformState {
    away_until: Option<MonotonicTime>,
    retry: Duration,
    pub(super) delay: Duration,
}

impl PlatformState {
    pub(super) const fn is_away(&self) -> bool {
        self.away_until.is_some()
    }

    /// Returns whether the platform is away and its next call is not due yet.
    pub(super) fn is_waiting(&self, now: MonotonicTime) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }

    fn observe(&mut self, since: MonotonicTime, now: MonotonicTime) {
        let delay = now.since(since);
        self.delay = self.delay - self.delay / DELAY_WEIGHT + delay / DELAY_WEIGHT;
        self.away_until = None;
        self.retry = Duration::ZERO;
    }
}

/// Seconds of reads that may be made at once, for a start with many budgets.
const READ_BURST: f64 = 4.0;

/// Limits the reads of an instance by a token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadQuota {
    used: f64,
    updated: MonotonicTime,
}

impl ReadQuota {
    /// Takes one read. A read that no request waits for leaves half of the burst to others.
    fn take(&mut self, rate: f64, is_urgent: bool, now: MonotonicTime) -> bool {
        if rate <= 0.0 {
            return true;
        }
        let freed = now.since(self.updated).as_secs_f64() * rate;
        self.used = (self.used - freed).max(0.0);
        self.updated = now;
        let burst = match is_urgent {
            true => rate * READ_BURST,
            false => rate * READ_BURST / 2.0,
        };
        let is_free = self.used + 1.0 <= burst.max(1.0);
        if is_free {
            self.used += 1.0;
        }
        is_free
    }
}

impl BudgetLedger {
    /// Looks up the shard owners again after the live instances have changed.
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
        if sync.call != ShardCall::Idle || self.platform.is_waiting(now) {
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
        if sync.wrote_at.is_some_and(|at| now.since(at) < period) {
            return;
        }
        match age {
            Some(age) if age <= self.options.cache_age => self.start_write(shard, &plans, now),
            Some(_) if urgency == Some(Urgency::Now) => {
                // Without a free read, an old value is better than no attempt.
                if !self.start_read(shard, true, now) {
                    self.start_write(shard, &plans, now);
                }
            }
            _ => {
                self.start_read(shard, urgency == Some(Urgency::Now), now);
            }
        }
    }

    /// Starts a read if the quota allows it. Returns whether it did.
    fn start_read(&mut self, shard: ShardNumber, is_urgent: bool, now: MonotonicTime) -> bool {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return false;
        };
        if !self.quota.take(self.options.read_rate, is_urgent, now) {
            return false;
        }
        sync.call = ShardCall::Reading { since: now };
        let is_latest = sync.attempt.is_some() || sync.was_outdated;
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
                account.start_row(&self.holder, plan.change);
            }
        }
        if let Some(sync) = self.shards.get_mut(&shard) {
            sync.attempt = Some(WriteAttempt {
                expected: 0,
                sendings: 0,
            });
        }
        self.send_write(shard, now);
    }

    /// Sends the pending rows against the version that was seen last.
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
        attempt.sendings += 1;
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

    /// Takes the result of a read into account and resolves the write that waited for it.
    pub(super) fn take_read(
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
        // A read that was delayed shows an old version, on which nothing may depend.
        let known = sync.cached.as_ref().map(|cached| cached.version);
        sync.was_outdated = known.is_some_and(|known| version < known);
        if !sync.was_outdated {
            sync.cached = Some(CachedShard {
                version,
                value,
                read_at: now,
            });
            self.resolve_attempt(shard, version, now);
            self.check_rows(shard, now);
        }
        self.finish_call(shard, now);
    }

    /// Settles the fate of an unresolved write from the version and rows just read.
    fn resolve_attempt(&mut self, shard: ShardNumber, version: u64, now: MonotonicTime) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let (Some(attempt), Some(cached)) = (sync.attempt, &sync.cached) else {
            return;
        };
        // Every sending expected at most this version. At a higher version none of them can still
        // take effect; at this version an earlier one may, so only the identical rows are sent.
        if version <= attempt.expected {
            return self.send_write(shard, now);
        }
        sync.attempt = None;
        for key in &sync.budgets {
            let account = &mut self.accounts[*key];
            let entry = cached.value.budgets.get(&account.budget);
            match find_outcome(account, entry) {
                WriteOutcome::Nothing => {}
                WriteOutcome::Applied => account.confirm_row(now),
                WriteOutcome::Dead => account.abandon_row(),
                WriteOutcome::Untold => account.forget_row(now),
            }
        }
    }

    /// Opens the next row where an operator has sealed or folded the current one.
    fn check_rows(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get(&shard) else {
            return;
        };
        let (Some(cached), None) = (&sync.cached, sync.attempt) else {
            return;
        };
        for key in &sync.budgets {
            let account = &mut self.accounts[*key];
            let entry = cached.value.budgets.get(&account.budget);
            let Some(generation) = account.work.as_ref().map(|work| work.row.generation) else {
                continue;
            };
            match entry.and_then(|entry| entry.row(&self.holder, generation)) {
                Some(row) if row.sealed => account.open_generation(),
                None if account.has_row() => account.forget_row(now),
                Some(_) | None => {}
            }
        }
    }

    /// Takes an accepted write into account.
    pub(super) fn take_accepted(&mut self, shard: ShardNumber, version: u64, now: MonotonicTime) {
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
        // A refused write does not count, so that it is repeated right after the next read.
        sync.wrote_at = Some(now);
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
                .work
                .as_ref()
                .is_some_and(|work| work.pending.is_some())
            {
                account.confirm_row(now);
            }
        }
        self.finish_call(shard, now);
    }

    /// Reads the shard again because the result of a write is not known.
    pub(super) fn take_unresolved(
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

    /// Waits before the next call because the platform is away.
    pub(super) fn take_down(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let Some(sync) = self.shards.get_mut(&shard) else {
            return;
        };
        let is_first = sync.attempt.is_some_and(|attempt| attempt.sendings == 1);
        let is_dead = is_first && matches!(sync.call, ShardCall::Writing { .. });
        sync.call = ShardCall::Idle;
        if is_dead {
            sync.attempt = None;
            for key in &sync.budgets {
                self.accounts[*key].abandon_row();
            }
        }
        let options = &self.options;
        self.platform.retry =
            (self.platform.retry * 2).clamp(options.platform_retry, options.platform_retry_max);
        self.platform.away_until = Some(now + self.platform.retry);
        let budgets = self.shards.get(&shard).map(|sync| sync.budgets.clone());
        for key in budgets.into_iter().flatten() {
            if !self.accounts[key].need().is_zero() || self.is_draining {
                self.visit(key, now);
            }
        }
    }

    /// Serves those who waited for the call, and starts the next one.
    fn finish_call(&mut self, shard: ShardNumber, now: MonotonicTime) {
        let budgets = self.shards.get(&shard).map(|sync| sync.budgets.clone());
        for key in budgets.into_iter().flatten() {
            if self.accounts[key].is_active {
                self.visit(key, now);
            }
        }
        self.sync_shard(shard, now);
    }
}

/// Puts the pending rows of the accounts into a shard value.
fn apply_pending<'a>(value: &mut ShardValue, accounts: impl Iterator<Item = &'a Account>) {
    for account in accounts {
        let Some(pending) = account.work.as_ref().and_then(|work| work.pending.as_ref()) else {
            continue;
        };
        let entry = value.budgets.entry(account.budget.clone()).or_default();
        if let Some(paid) = account.work.as_ref().and_then(|work| work.paid) {
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
    Nothing,
    Applied,
    Dead,
    Untold,
}

/// Tells whether the pending change of an account is in the entry that was read, given that no
/// sending of it can still arrive.
fn find_outcome(account: &Account, entry: Option<&BudgetEntry>) -> WriteOutcome {
    let Some(work) = &account.work else {
        return WriteOutcome::Nothing;
    };
    let Some(pending) = &work.pending else {
        return WriteOutcome::Nothing;
    };
    let found: Option<&HolderRow> =
        entry.and_then(|entry| entry.row(&pending.row.holder, pending.row.generation));
    match found {
        Some(row) if row.sequence >= pending.row.sequence => WriteOutcome::Applied,
        Some(_) => WriteOutcome::Dead,
        // Only the closing write itself removes a row that is not sealed.
        None if pending.is_closing => WriteOutcome::Applied,
        None if work.row.is_known => WriteOutcome::Untold,
        None => WriteOutcome::Dead,
    }
}
