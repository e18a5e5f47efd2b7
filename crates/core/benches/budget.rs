//! Benchmarks of reservation and settlement, and of the memory per budget.

#![allow(missing_docs)] // The macros of criterion generate undocumented functions.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use cornelarch_core::{
    base::{BudgetName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{BudgetKey, BudgetLedger, BudgetMessage, LedgerEvent, LedgerOptions},
};
use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

const SIZES: [usize; 3] = [100, 10_000, 100_000];

/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4_096;

/// Number of requests in one measured batch, spread over the budgets.
const BATCH: usize = 1_000;

fn budget_name(index: usize) -> BudgetName {
    BudgetName::new(&format!("customer-{}/budget-{index}", index / 15))
}

fn holder(text: &str) -> HolderId {
    HolderId::new(InstanceName::new(text), 1)
}

/// Returns a ledger with the given number of budgets.
fn new_ledger(budgets: usize) -> (BudgetLedger, Vec<BudgetKey>) {
    let options = LedgerOptions {
        shards: 6_250,
        ..LedgerOptions::default()
    };
    let mut ledger = BudgetLedger::new(holder("router-1"), options);
    let keys = (0..budgets)
        .map(|index| ledger.register(budget_name(index)))
        .collect();
    (ledger, keys)
}

/// Gives every budget a balance that no benchmark exhausts.
fn fund_budgets(ledger: &mut BudgetLedger, budgets: usize) {
    for index in 0..budgets {
        let message = BudgetMessage::Transfer {
            sequence: index as u64 + 1,
            budget: budget_name(index),
            amount: TokenCount::new(1 << 50),
            spent: TokenCount::ZERO,
        };
        let (from, to) = (holder("router-2"), holder("router-1"));
        ledger.handle(
            LedgerEvent::Received { from, to, message },
            MonotonicTime::START,
        );
    }
}

/// Returns the keys in an order that differs from their order in memory.
fn shuffle_keys(keys: &[BudgetKey]) -> Vec<BudgetKey> {
    let count = keys.len().max(BATCH);
    (0..count)
        .map(|index| keys[index * 7_919 % keys.len()])
        .collect()
}

/// Reserves and settles a batch of requests, and returns the duration of one of the two phases.
fn run_batch(ledger: &mut BudgetLedger, keys: &[BudgetKey], is_reserve: bool) -> Duration {
    let now = MonotonicTime::from_millis(1);
    let (amount, cost) = (TokenCount::new(1_600), TokenCount::new(550));
    let mut open = Vec::with_capacity(keys.len());
    let started = Instant::now();
    for key in keys {
        open.push(ledger.reserve(black_box(*key), amount, now));
    }
    let reserved = started.elapsed();
    let open: Vec<_> = open
        .into_iter()
        .map(|result| result.expect("balance suffices"))
        .collect();
    let started = Instant::now();
    for reservation in open {
        black_box(ledger.settle(reservation, cost, now)).expect("is open");
    }
    match is_reserve {
        true => reserved,
        false => started.elapsed(),
    }
}

fn reserve_and_settle(criterion: &mut Criterion) {
    for budgets in SIZES {
        let (mut ledger, keys) = new_ledger(budgets);
        fund_budgets(&mut ledger, budgets);
        let keys = shuffle_keys(&keys);
        let mut batches = keys.chunks_exact(BATCH).cycle();
        let mut group = criterion.benchmark_group("budget");
        group.measurement_time(Duration::from_secs(3));
        group.throughput(Throughput::Elements(BATCH as u64));
        for (phase, is_reserve) in [("reserve", true), ("settle", false)] {
            group.bench_function(BenchmarkId::new(phase, budgets), |bencher| {
                bencher.iter_custom(|rounds| {
                    let batches = (0..rounds).filter_map(|_| batches.next());
                    batches
                        .map(|batch| run_batch(&mut ledger, batch, is_reserve))
                        .sum()
                });
            });
        }
        group.finish();
    }
}

/// Measures a tick with 1,000 of 100,000 budgets in use.
fn tick(criterion: &mut Criterion) {
    let (mut ledger, keys) = new_ledger(100_000);
    fund_budgets(&mut ledger, BATCH);
    for key in &keys[..BATCH] {
        let reservation = ledger.reserve(*key, TokenCount::new(10), MonotonicTime::START);
        reservation.expect("balance suffices");
    }
    criterion.bench_function("budget/sweep of 1,000 budgets in use", |bencher| {
        bencher.iter_batched(
            || ledger.clone(),
            |mut ledger| {
                black_box(ledger.handle(LedgerEvent::Tick, MonotonicTime::from_millis(2_000)));
                ledger
            },
            BatchSize::PerIteration,
        );
    });
}

fn resident_bytes() -> usize {
    // Without procfs the memory is reported as zero.
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn memory(_: &mut Criterion) {
    const BUDGETS: usize = 100_000;
    let before = resident_bytes();
    let (mut ledger, _keys) = new_ledger(BUDGETS);
    let registered = resident_bytes();
    fund_budgets(&mut ledger, BUDGETS);
    let used = resident_bytes();
    let per_budget = |bytes: usize| bytes.saturating_sub(before) / BUDGETS;
    println!(
        "memory per budget, {BUDGETS} budgets: registered {} bytes, in use {} bytes",
        per_budget(registered),
        per_budget(used)
    );
}

criterion_group!(benches, memory, reserve_and_settle, tick);
criterion_main!(benches);
