//! In-memory fake of the platform: versioned shard objects behind read and write rate limits.

use cornelarch_core::{
    base::{BudgetName, MonotonicTime, TokenCount},
    budget::{BudgetTotals, LedgerEvent, ShardNumber, ShardValue},
};

/// Limit on write calls per second.
const WRITE_RATE: u32 = 500;

/// Limit on read calls per second.
const READ_RATE: u32 = 2_000;

/// In-memory store of the ledger shards with their versions.
#[derive(Clone, Debug)]
pub(crate) struct FakePlatform {
    shards: Vec<(u64, ShardValue)>,
    pub(crate) is_unavailable: bool,
    pub(crate) writes: u64,
    pub(crate) conflicts: u64,
    pub(crate) reads: u64,
    pub(crate) rejected_calls: u64,
    window_second: u64,
    window_writes: u32,
    window_reads: u32,
}

impl FakePlatform {
    pub(crate) fn new(shards: u32) -> Self {
        Self {
            shards: vec![(0, ShardValue::default()); shards as usize],
            is_unavailable: false,
            writes: 0,
            conflicts: 0,
            reads: 0,
            rejected_calls: 0,
            window_second: 0,
            window_writes: 0,
            window_reads: 0,
        }
    }

    fn update_rate_window(&mut self, now: MonotonicTime) {
        let window_second = now.as_micros() / 1_000_000;
        if window_second != self.window_second {
            (self.window_second, self.window_writes, self.window_reads) = (window_second, 0, 0);
        }
    }

    pub(crate) fn read(&mut self, shard: ShardNumber, now: MonotonicTime) -> LedgerEvent {
        self.update_rate_window(now);
        self.window_reads += 1;
        if self.is_unavailable || self.window_reads > READ_RATE {
            self.rejected_calls += 1;
            return LedgerEvent::PlatformDown { shard };
        }
        self.reads += 1;
        let (version, value) = self.shards[shard.0 as usize].clone();
        LedgerEvent::ShardRead {
            shard,
            version,
            value,
        }
    }

    pub(crate) fn write(
        &mut self,
        shard: ShardNumber,
        expected: u64,
        value: ShardValue,
        now: MonotonicTime,
    ) -> LedgerEvent {
        self.update_rate_window(now);
        self.window_writes += 1;
        if self.is_unavailable || self.window_writes > WRITE_RATE {
            self.rejected_calls += 1;
            return LedgerEvent::PlatformDown { shard };
        }
        self.writes += 1;
        let object = &mut self.shards[shard.0 as usize];
        if object.0 != expected {
            self.conflicts += 1;
            return LedgerEvent::WriteConflict { shard };
        }
        *object = (expected + 1, value);
        LedgerEvent::WriteAccepted {
            shard,
            version: expected + 1,
        }
    }

    /// Adds a payment, as the operator tool does with a conditional write.
    pub(crate) fn top_up(&mut self, budget: &BudgetName, amount: u64, operation_id: &str) {
        let shard = ShardNumber::of_budget(budget, self.shards.len() as u32);
        let (version, value) = &mut self.shards[shard.0 as usize];
        let amount = TokenCount::new(amount);
        value
            .top_up(budget, amount, operation_id)
            .expect("amounts of the scenarios do not overflow");
        *version += 1;
    }

    pub(crate) fn totals(&self, budget: &BudgetName) -> BudgetTotals {
        let shard = ShardNumber::of_budget(budget, self.shards.len() as u32);
        self.shards[shard.0 as usize].1.totals(budget)
    }
}
