//! Memory and CPU cost of the budget ledger, and size of the shard objects.

use std::{
    collections::BTreeMap,
    hint::black_box,
    time::{Duration, Instant},
};

use cornelarch_core::{
    base::{BudgetName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        BudgetKey, BudgetLedger, HolderRow, LedgerEffect, LedgerEvent, LedgerOptions, ReserveError,
        ShardNumber, ShardValue,
    },
};

use super::{SlopeRow, memory::measure_growth};

/// Number of budgets at a tenth of the target size and at the target size.
const BUDGET_COUNTS: [u32; 2] = [10_000, 100_000];
/// Number of budgets in use on one instance. The target of 100,000 applies to the whole fleet, of
/// which one instance serves only a small share.
const ACTIVE_BUDGET_COUNTS: [u32; 2] = [1_000, 10_000];
/// Budgets per ledger shard.
const BUDGETS_PER_SHARD: u32 = 16;
/// Holders with a row in each budget: one domain, and all domains of the target size.
const ROW_COUNTS: [u32; 2] = [1, 12];
/// Paid amount of each budget, in tokens.
const PAID_TOKENS: u64 = 1_000_000_000;
/// Size of one reservation, in tokens.
const RESERVED_TOKENS: u64 = 1_000;
/// Virtual time by which every budget must be in use.
const SETUP_END: MonotonicTime = MonotonicTime::from_millis(3_600_000);
/// Virtual time of one platform call.
const PLATFORM_CALL_TIME: Duration = Duration::from_millis(1);
/// Sweeps per measurement of CPU time.
const SWEEP_COUNT: u32 = 20;
/// Virtual time of the first sweep, after the setup.
const SWEEP_START_MS: u64 = 3_600_000;

/// Measures memory per budget, sweep time per budget in use, and shard object bytes per row.
pub(super) fn measure() -> Vec<SlopeRow> {
    let registered = BUDGET_COUNTS.map(|budgets| measure_growth(|| build_ledger(budgets)));
    let active =
        ACTIVE_BUDGET_COUNTS.map(|budgets| measure_growth(|| build_active_ledger(budgets)));
    let sweep = ACTIVE_BUDGET_COUNTS.map(measure_sweep);
    let bytes = ROW_COUNTS.map(measure_shard_size);
    vec![
        row(
            "ledger memory, budget not in use",
            "bytes/budget",
            BUDGET_COUNTS,
            registered,
        ),
        row(
            "ledger memory, budget in use",
            "bytes/budget",
            ACTIVE_BUDGET_COUNTS,
            active,
        ),
        row(
            "ledger sweep each second, budget in use",
            "us/budget",
            ACTIVE_BUDGET_COUNTS,
            sweep,
        ),
        row(
            "shard object of 16 budgets",
            "bytes/row of all 16",
            ROW_COUNTS,
            bytes,
        ),
    ]
}

fn row(name: &'static str, unit: &'static str, sizes: [u32; 2], costs: [f64; 2]) -> SlopeRow {
    SlopeRow {
        name,
        unit,
        small: (f64::from(sizes[0]), costs[0]),
        large: (f64::from(sizes[1]), costs[1]),
    }
}

fn budget_name(number: u32) -> BudgetName {
    BudgetName::from(format!("budget-{number:06}"))
}

fn build_ledger(budgets: u32) -> (BudgetLedger, Vec<BudgetKey>) {
    let holder = HolderId::new(InstanceName::new("router-1"), 1);
    let options = LedgerOptions {
        shards: budgets / BUDGETS_PER_SHARD,
        read_rate: 0.0,
        ..LedgerOptions::default()
    };
    let mut ledger = BudgetLedger::new(holder, options);
    let keys = (0..budgets).map(|number| ledger.register(budget_name(number)));
    let keys = keys.collect();
    (ledger, keys)
}

/// Builds a ledger in which every budget has been drawn and has served one request.
fn build_active_ledger(budgets: u32) -> BudgetLedger {
    let (mut ledger, keys) = build_ledger(budgets);
    let mut platform = FakePlatform::new(budgets);
    let mut now = MonotonicTime::from_millis(1_000);
    let mut effects = Vec::new();
    for key in &keys {
        let refused = try_request(&mut ledger, *key, now);
        assert!(refused.is_err(), "a new ledger owns no tokens");
        let mut is_woken = false;
        while !is_woken {
            assert!(
                now < SETUP_END,
                "the draw was not confirmed within the setup time"
            );
            // A second write of the same shard waits for the urgent period, so the clock has to
            // advance.
            now = now + PLATFORM_CALL_TIME;
            effects.extend(ledger.handle(LedgerEvent::Tick, now));
            for effect in std::mem::take(&mut effects) {
                is_woken |= matches!(effect, LedgerEffect::Wake { budget } if budget == *key);
                if let Some(event) = platform.respond(effect) {
                    effects.extend(ledger.handle(event, now));
                }
            }
        }
        try_request(&mut ledger, *key, now).expect("the draw covers the request");
    }
    ledger
}

/// Reserves and settles one request that costs half of its reservation.
fn try_request(
    ledger: &mut BudgetLedger,
    key: BudgetKey,
    now: MonotonicTime,
) -> Result<(), ReserveError> {
    let reservation = ledger.reserve(key, TokenCount::new(RESERVED_TOKENS), now)?;
    let settled = ledger.settle(reservation, TokenCount::new(RESERVED_TOKENS / 2), now);
    settled.expect("the reservation is open");
    Ok(())
}

/// Platform that answers calls immediately and without faults, with every budget paid.
struct FakePlatform {
    shards: BTreeMap<ShardNumber, (u64, ShardValue)>,
}

impl FakePlatform {
    fn new(budgets: u32) -> Self {
        let mut shards: BTreeMap<ShardNumber, (u64, ShardValue)> = BTreeMap::new();
        for budget in (0..budgets).map(budget_name) {
            let shard = ShardNumber::of_budget(&budget, budgets / BUDGETS_PER_SHARD);
            let (version, value) = shards.entry(shard).or_default();
            *version = 1;
            value
                .set_initial_paid(&budget, TokenCount::new(PAID_TOKENS))
                .expect("the paid amount does not overflow");
        }
        Self { shards }
    }

    fn respond(&mut self, effect: LedgerEffect) -> Option<LedgerEvent> {
        match effect {
            LedgerEffect::ReadShard { shard, .. } => {
                let (version, value) = self.shards.get(&shard)?.clone();
                Some(LedgerEvent::ShardRead {
                    shard,
                    version,
                    value,
                })
            }
            LedgerEffect::WriteShard { shard, value, .. } => {
                let object = self.shards.get_mut(&shard)?;
                *object = (object.0 + 1, value);
                Some(LedgerEvent::WriteAccepted {
                    shard,
                    version: object.0,
                })
            }
            LedgerEffect::Send { .. } | LedgerEffect::Wake { .. } => None,
        }
    }
}

fn measure_sweep(budgets: u32) -> f64 {
    let mut ledger = build_active_ledger(budgets);
    let start = Instant::now();
    for sweep in 0..SWEEP_COUNT {
        let now = MonotonicTime::from_millis(SWEEP_START_MS + 1_000 * u64::from(sweep));
        black_box(ledger.handle(LedgerEvent::Tick, now));
    }
    start.elapsed().as_micros() as f64 / f64::from(SWEEP_COUNT)
}

fn measure_shard_size(rows: u32) -> f64 {
    let mut value = ShardValue::default();
    for number in 0..BUDGETS_PER_SHARD {
        let name = budget_name(number);
        let entry = value.budgets.entry(name).or_default();
        entry.paid = TokenCount::new(PAID_TOKENS);
        for holder in 0..rows {
            let holder = HolderId::new(
                InstanceName::from(format!("router-{holder:03}")),
                u64::MAX - u64::from(holder),
            );
            let mut row = HolderRow::empty(holder, 0);
            row.sequence = 1_000;
            row.granted = TokenCount::new(PAID_TOKENS / 10);
            row.spent = TokenCount::new(PAID_TOKENS / 20);
            entry.put_row(row);
        }
    }
    serde_json::to_vec(&value).map_or(0.0, |bytes| bytes.len() as f64)
}
