//! Tests of single ledger transitions.

use std::time::Duration;

use cornelarch_core::{
    base::{BudgetName, HolderId, InstanceName, MonotonicTime, TokenCount},
    budget::{
        BudgetKey, BudgetLedger, BudgetMessage, DomainPeer, HolderRow, LedgerEffect, LedgerEvent,
        LedgerOptions, PeerTable, ReserveError, SettleError, ShardNumber, ShardValue,
    },
    error::ErrorKind,
};

const SHARD: ShardNumber = ShardNumber(0);

fn budget() -> BudgetName {
    BudgetName::new("gold")
}

fn holder(epoch: u64) -> HolderId {
    HolderId::new(InstanceName::new("r1"), epoch)
}

fn tokens(amount: u64) -> TokenCount {
    TokenCount::new(amount)
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn paid_shard(paid: u64) -> ShardValue {
    let mut value = ShardValue::default();
    value
        .set_initial_paid(&budget(), tokens(paid))
        .expect("amount fits");
    value
}

fn new_ledger() -> (BudgetLedger, BudgetKey) {
    let options = LedgerOptions {
        shards: 1,
        ..LedgerOptions::default()
    };
    let mut ledger = BudgetLedger::new(holder(1), options);
    let key = ledger.register(budget());
    (ledger, key)
}

/// Answers the read that follows a refused reservation and returns the value of the resulting
/// write.
fn read_and_write(ledger: &mut BudgetLedger, value: &ShardValue, millis: u64) -> ShardValue {
    let effects = ledger.handle(LedgerEvent::Tick, at(millis));
    assert_eq!(
        effects,
        [LedgerEffect::ReadShard {
            is_latest: false,
            shard: SHARD
        }]
    );
    let value = value.clone();
    let read = LedgerEvent::ShardRead {
        shard: SHARD,
        version: 1,
        value,
    };
    let effects = ledger.handle(read, at(millis + 3));
    match effects.as_slice() {
        [
            LedgerEffect::WriteShard {
                expected_version: 1,
                value,
                ..
            },
        ] => value.clone(),
        _ => panic!("expected a write, got {effects:?}"),
    }
}

fn funded_ledger() -> (BudgetLedger, BudgetKey) {
    let (mut ledger, key) = new_ledger();
    let refused = ledger.reserve(key, tokens(100), at(0));
    assert!(matches!(
        refused,
        Err(ReserveError::Insufficient { retry: true, .. })
    ));
    read_and_write(&mut ledger, &paid_shard(10_000), 0);
    let accepted = LedgerEvent::WriteAccepted {
        shard: SHARD,
        version: 2,
    };
    let effects = ledger.handle(accepted, at(5));
    assert!(effects.contains(&LedgerEffect::Wake { budget: key }));
    (ledger, key)
}

/// Guards against billing a request twice or billing more than it reserved.
#[test]
fn request_is_billed_once_and_within_its_reservation() {
    let (mut ledger, key) = funded_ledger();
    let reservation = ledger
        .reserve(key, tokens(100), at(10))
        .expect("balance suffices");
    let settlement = ledger
        .settle(reservation, tokens(130), at(20))
        .expect("is open");
    assert_eq!(
        (settlement.billed, settlement.excess),
        (tokens(100), tokens(30))
    );
    let second = ledger.settle(reservation, tokens(1), at(30));
    assert_eq!(second, Err(SettleError::AlreadySettled));
    ledger.cancel(reservation, at(30));
    assert_eq!(ledger.snapshot().accounts[0].spent, tokens(100));
}

/// Guards against spending drawn tokens before the write of the draw is confirmed.
#[test]
fn draw_is_spendable_only_when_confirmed() {
    let (mut ledger, key) = new_ledger();
    assert!(ledger.reserve(key, tokens(100), at(0)).is_err());
    read_and_write(&mut ledger, &paid_shard(10_000), 0);
    assert!(ledger.reserve(key, tokens(100), at(4)).is_err());
    ledger.handle(LedgerEvent::WriteUnknown { shard: SHARD }, at(5));
    assert!(ledger.reserve(key, tokens(100), at(6)).is_err());
}

/// Guards against resending a write with changed rows while an earlier transmission may still take
/// effect, and against rolling back a write that took effect.
#[test]
fn lost_answer_is_resolved_by_reading() {
    let (mut ledger, key) = new_ledger();
    assert!(ledger.reserve(key, tokens(100), at(0)).is_err());
    let before = paid_shard(10_000);
    let written = read_and_write(&mut ledger, &before, 0);
    let effects = ledger.handle(LedgerEvent::WriteUnknown { shard: SHARD }, at(5));
    assert_eq!(
        effects,
        [LedgerEffect::ReadShard {
            is_latest: true,
            shard: SHARD
        }]
    );
    let read = LedgerEvent::ShardRead {
        shard: SHARD,
        version: 1,
        value: before,
    };
    let effects = ledger.handle(read, at(8));
    let resend = LedgerEffect::WriteShard {
        shard: SHARD,
        expected_version: 1,
        value: written.clone(),
    };
    assert_eq!(effects, [resend], "the identical rows are sent again");
    ledger.handle(LedgerEvent::WriteConflict { shard: SHARD }, at(9));
    let read = LedgerEvent::ShardRead {
        shard: SHARD,
        version: 2,
        value: written,
    };
    ledger.handle(read, at(12));
    assert!(ledger.reserve(key, tokens(100), at(13)).is_ok());
}

/// Guards against a refusal of the wrong kind: `budget_exhausted` is reported only for a budget
/// whose paid amount does not cover the request.
#[test]
fn refusal_distinguishes_exhausted_from_unavailable() {
    let (mut ledger, key) = new_ledger();
    let error = ledger
        .reserve(key, tokens(100), at(0))
        .expect_err("no tokens yet");
    assert_eq!(error.kind(), ErrorKind::BudgetUnavailable);
    ledger.handle(LedgerEvent::Tick, at(0));
    let read = LedgerEvent::ShardRead {
        shard: SHARD,
        version: 1,
        value: paid_shard(50),
    };
    ledger.handle(read, at(3));
    let error = ledger
        .reserve(key, tokens(100), at(4))
        .expect_err("budget is too small");
    assert_eq!(
        error,
        ReserveError::Insufficient {
            retry: false,
            kind: ErrorKind::BudgetExhausted
        }
    );
}

/// Guards against reading an exhausted shard once per request.
#[test]
fn exhausted_shard_is_read_once_per_second() {
    let (mut ledger, key) = new_ledger();
    let mut reads = 0;
    for millis in (0..10_000).step_by(50) {
        // Every request is refused; only the reads matter.
        let _ = ledger.reserve(key, tokens(100), at(millis));
        for effect in ledger.handle(LedgerEvent::Tick, at(millis)) {
            if effect
                == (LedgerEffect::ReadShard {
                    is_latest: false,
                    shard: SHARD,
                })
            {
                reads += 1;
                let value = paid_shard(0);
                let read = LedgerEvent::ShardRead {
                    shard: SHARD,
                    version: 1,
                    value,
                };
                ledger.handle(read, at(millis + 3));
            }
        }
    }
    assert!((8..=11).contains(&reads), "{reads} reads in 10 s");
}

/// Guards against a paused holder that resumes and writes to a row that an operator has sealed, and
/// against losing the balance that the holder still owns.
#[test]
fn sealed_holder_reports_in_its_next_row() {
    let (mut ledger, key) = funded_ledger();
    let reservation = ledger
        .reserve(key, tokens(100), at(10))
        .expect("balance suffices");
    ledger
        .settle(reservation, tokens(60), at(20))
        .expect("is open");
    let mut value = paid_shard(10_000);
    let granted = ledger.snapshot().accounts[0].balance.get() + 60;
    let row = HolderRow {
        sequence: 1,
        granted: tokens(granted),
        ..HolderRow::empty(holder(1), 0)
    };
    value
        .budgets
        .get_mut(&budget())
        .expect("entry exists")
        .put_row(row);
    value
        .release(&budget(), &holder(1), "op-1", false)
        .expect("row is open");
    ledger.handle(LedgerEvent::DrainStarted, at(2_000));
    let read = LedgerEvent::ShardRead {
        shard: SHARD,
        version: 3,
        value,
    };
    let effects = ledger.handle(read, at(2_003));
    let [LedgerEffect::WriteShard { value, .. }] = effects.as_slice() else {
        panic!("expected a write, got {effects:?}");
    };
    let next = value.budgets[&budget()]
        .row(&holder(1), 1)
        .expect("next generation");
    assert_eq!(
        (next.spent, next.returned),
        (tokens(60), tokens(granted - 60))
    );
    assert_eq!(value.totals(&budget()).available, tokens(10_000 - 60));
}

/// Guards against accepting transfers to an earlier incarnation, which no live process owns, and
/// against applying a transfer twice.
#[test]
fn transfer_to_an_earlier_incarnation_is_dropped() {
    let (mut ledger, _) = new_ledger();
    let peer = HolderId::new(InstanceName::new("r2"), 5);
    let message = BudgetMessage::Transfer {
        sequence: 1,
        budget: budget(),
        amount: tokens(10),
        spent: TokenCount::ZERO,
    };
    for (epoch, balance) in [(0, 0), (1, 10), (1, 10)] {
        let (from, to, message) = (peer.clone(), holder(epoch), message.clone());
        let effects = ledger.handle(LedgerEvent::Received { from, to, message }, at(0));
        assert_eq!(effects.is_empty(), epoch == 0);
        let accounts = ledger.snapshot().accounts;
        let owned = accounts.first().map_or(0, |account| account.balance.get());
        assert_eq!(owned, balance);
    }
}

/// Guards against an idle holder that never returns its tokens.
#[test]
fn idle_balance_is_returned() {
    let (mut ledger, _) = funded_ledger();
    let mut value = None;
    for second in 1..2_000 {
        for effect in ledger.handle(LedgerEvent::Tick, at(second * 1_000)) {
            if effect
                == (LedgerEffect::ReadShard {
                    is_latest: false,
                    shard: SHARD,
                })
            {
                let mut shard = paid_shard(10_000);
                let row = HolderRow {
                    sequence: 1,
                    granted: ledger.snapshot().accounts[0].balance,
                    ..HolderRow::empty(holder(1), 0)
                };
                shard
                    .budgets
                    .get_mut(&budget())
                    .expect("entry exists")
                    .put_row(row);
                let read = LedgerEvent::ShardRead {
                    shard: SHARD,
                    version: 2,
                    value: shard,
                };
                let time = at(second * 1_000) + Duration::from_millis(3);
                value = ledger.handle(read, time).into_iter().next();
            }
        }
        if value.is_some() {
            break;
        }
    }
    let Some(LedgerEffect::WriteShard { value, .. }) = value else {
        panic!("expected a write, got {value:?}");
    };
    assert!(
        value.totals(&budget()).held.get() < 2_000,
        "{:?}",
        value.totals(&budget())
    );
}

/// Guards against draws that cover a single request each, as happens for a nearly exhausted budget
/// without a forecast. With many writers per shard such draws mostly conflict, and requests are
/// refused although tokens are available.
#[test]
fn scarce_draw_covers_several_requests_within_the_share() {
    // The stock is the smaller of 20 requests of 100 tokens and half the fair share of one of 12
    // domains, 3,333 or 500 tokens.
    for (available, stock) in [(80_000, 2_000), (12_000, 500)] {
        let options = LedgerOptions {
            shards: 1,
            domains: 12,
            ..LedgerOptions::default()
        };
        let mut ledger = BudgetLedger::new(holder(1), options);
        let key = ledger.register(budget());
        let mut value = paid_shard(1_000_000);
        let entry = value.budgets.get_mut(&budget()).expect("budget is paid");
        entry.rows.push(HolderRow {
            holder: holder(7),
            generation: 0,
            sequence: 1,
            granted: tokens(1_000_000 - available),
            returned: TokenCount::ZERO,
            spent: TokenCount::ZERO,
            sealed: false,
        });
        let refused = ledger.reserve(key, tokens(100), at(0));
        assert!(refused.is_err());
        let written = read_and_write(&mut ledger, &value, 0);
        let row = written.budgets[&budget()].row(&holder(1), 0);
        let granted = row.expect("own row is written").granted;
        assert_eq!(granted, tokens(stock + 100), "{available} available");
    }
}

/// Guards against a borrower that becomes a second writer of its domain while the shard owner
/// answers but is itself waiting for the platform. The resulting conflicts would delay both.
#[test]
fn neighbour_keeps_asking_an_owner_that_answers() {
    let (mut ledger, key) = new_ledger();
    let domain = LedgerOptions::default().domain;
    // The first name that rendezvous hashing ranks above the instance under test.
    let peer = (0..)
        .map(|number| DomainPeer {
            holder: HolderId::new(InstanceName::from(format!("owner-{number}")), 1),
            domain: domain.clone(),
        })
        .find(|peer| {
            let table = PeerTable::new(&holder(1), &domain, vec![peer.clone()]);
            table.owner(&domain, SHARD) == Some(&peer.holder)
        })
        .expect("some name has the higher score");
    let owner = peer.holder.clone();
    let changed = LedgerEvent::PeersChanged(vec![peer]);
    assert_eq!(ledger.handle(changed, at(0)), []);
    let mut asked = 0;
    // A request waits in each millisecond; the owner answers every borrow request without tokens.
    for millis in 1..900 {
        let refused = ledger.reserve(key, tokens(10), at(millis));
        assert!(refused.is_err(), "the owner has lent nothing");
        for effect in ledger.handle(LedgerEvent::Tick, at(millis)) {
            let LedgerEffect::Send { to, .. } = effect else {
                panic!("after {asked} borrow requests at {millis} ms: {effect:?}");
            };
            assert_eq!(to, owner);
            asked += 1;
            let answer = LedgerEvent::Received {
                from: to,
                to: holder(1),
                message: BudgetMessage::TransferAck { sequence: 0 },
            };
            assert_eq!(ledger.handle(answer, at(millis)), []);
        }
    }
    assert!(asked >= 10, "{asked} borrow requests");
}

/// Guards against draining instances that pass the same tokens to each other indefinitely because
/// each of them still assumes a platform outage that has ended.
#[test]
fn draining_holder_tries_the_platform_again_before_it_hands_over() {
    let (mut ledger, key) = new_ledger();
    let neighbour = HolderId::new(InstanceName::new("r2"), 1);
    let peer = DomainPeer {
        holder: neighbour.clone(),
        domain: LedgerOptions::default().domain,
    };
    let retry = LedgerOptions::default().platform_retry;
    let _ = ledger.handle(LedgerEvent::PeersChanged(vec![peer]), at(0));
    let transfer = |sequence| LedgerEvent::Received {
        from: neighbour.clone(),
        to: holder(1),
        message: BudgetMessage::Transfer {
            sequence,
            budget: budget(),
            amount: tokens(50),
            spent: TokenCount::ZERO,
        },
    };
    let is_transfer = |effect: &LedgerEffect| {
        let LedgerEffect::Send { message, .. } = effect else {
            return false;
        };
        matches!(message, BudgetMessage::Transfer { .. })
    };
    // The drain triggers a read, which fails.
    let _ = ledger.handle(transfer(1), at(1));
    let _ = ledger.handle(LedgerEvent::DrainStarted, at(2));
    let _ = ledger.handle(LedgerEvent::PlatformDown { shard: SHARD }, at(3));
    let effects = ledger.handle(transfer(2), at(4));
    assert!(effects.iter().any(is_transfer), "{effects:?}");
    let due = at(4) + retry;
    let effects = ledger.handle(transfer(3), due);
    assert!(!effects.iter().any(is_transfer), "{effects:?}");
    assert!(
        effects.contains(&LedgerEffect::ReadShard {
            is_latest: false,
            shard: SHARD
        }),
        "{effects:?}"
    );
    assert!(ledger.reserve(key, tokens(1), due).is_err());
}
