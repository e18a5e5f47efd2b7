//! Tests of operator actions on shard values and of their stored form.

use cornelarch_core::{
    base::{BudgetName, HolderId, InstanceName, TokenCount},
    budget::{HolderRow, ShardError, ShardNumber, ShardValue},
};
use rstest::rstest;

fn budget() -> BudgetName {
    BudgetName::new("gold")
}

fn holder() -> HolderId {
    HolderId::new(InstanceName::new("r1"), 7)
}

fn tokens(amount: u64) -> TokenCount {
    TokenCount::new(amount)
}

/// Returns a shard with a paid amount of 100 tokens, of which the holder drew 60 and spent 10.
fn drawn_shard() -> ShardValue {
    let mut value = ShardValue::default();
    value
        .set_initial_paid(&budget(), tokens(100))
        .expect("amount fits");
    let entry = value.budgets.get_mut(&budget()).expect("entry exists");
    let mut row = HolderRow::empty(holder(), 0);
    (row.sequence, row.granted, row.spent) = (1, tokens(60), tokens(10));
    entry.put_row(row);
    value
}

/// Guards against counting a payment twice when the operator repeats the command.
#[test]
fn top_up_counts_once_per_operation_id() {
    let mut value = drawn_shard();
    assert_eq!(value.top_up(&budget(), tokens(50), "op-1"), Ok(true));
    assert_eq!(value.top_up(&budget(), tokens(50), "op-1"), Ok(false));
    assert_eq!(value.totals(&budget()).paid, tokens(150));
    let reused = value.top_up(&budget(), tokens(51), "op-1");
    assert!(matches!(reused, Err(ShardError::OperationReused { .. })));
}

/// Guards against applying the initial amount again after many operations or when the configured
/// amount has changed.
#[test]
fn initial_amount_is_paid_once() {
    let mut value = drawn_shard();
    for number in 0..200 {
        value
            .top_up(&budget(), tokens(1), &format!("op-{number}"))
            .expect("amount fits");
    }
    assert_eq!(value.set_initial_paid(&budget(), tokens(900)), Ok(false));
    assert_eq!(value.totals(&budget()).paid, tokens(300));
    assert_eq!(value.top_up(&budget(), tokens(1), "op-199"), Ok(false));
}

/// Guards against an arithmetic overflow of the paid amount.
#[test]
fn overflow_is_refused() {
    let mut value = drawn_shard();
    let result = value.top_up(&budget(), TokenCount::MAX, "op-1");
    assert!(matches!(result, Err(ShardError::Overflow { .. })));
    assert_eq!(value.totals(&budget()).paid, tokens(100));
}

/// Guards against a release that makes held tokens available without a credit, or that credits more
/// than the holder has.
#[rstest]
#[case::without_credit(false, 100, 40)]
#[case::with_credit(true, 150, 90)]
fn release_labels_the_remainder(#[case] credit: bool, #[case] paid: u64, #[case] available: u64) {
    let mut value = drawn_shard();
    for _ in 0..2 {
        let amount = value.release(&budget(), &holder(), "op-1", credit);
        assert_eq!(amount, Ok(tokens(50)));
        let totals = value.totals(&budget());
        assert_eq!((totals.paid, totals.held), (tokens(paid), tokens(50)));
        assert_eq!(
            (totals.available, totals.written_off),
            (tokens(available), tokens(50))
        );
    }
    let again = value.release(&budget(), &holder(), "op-2", credit);
    assert!(matches!(again, Err(ShardError::UnknownHolder { .. })));
    assert!(value.fold_sealed(&budget(), &holder()));
    assert_eq!(value.totals(&budget()).held, tokens(50));
    assert!(value.budgets[&budget()].rows.is_empty());
}

/// Guards against changes of the stored form that other versions of the program cannot read.
#[test]
fn stored_form_is_stable() {
    let text = serde_json::to_string(&drawn_shard()).expect("serialises");
    let expected = r#"{"budgets":{"gold":{"paid":100,"operations":[{"id":"initial/gold","#;
    assert!(text.starts_with(expected), "{text}");
    let row = r#""rows":[["r1~0000000000000007",0,1,60,0,10,false]]"#;
    assert!(text.contains(row), "{text}");
    assert_eq!(
        serde_json::from_str::<ShardValue>(&text).expect("parses"),
        drawn_shard()
    );
}

/// Guards against a change of the hash, which would move budgets to other shards and lose their
/// entries.
#[test]
fn shard_of_a_budget_is_stable() {
    assert_eq!(ShardNumber::of_budget(&budget(), 8), ShardNumber(3));
    assert_eq!(ShardNumber(3).object_key(&"trial".into()), "ledger/trial/3");
}

/// Guards against a shard object that exceeds the designed size, for 16 budgets with one row for
/// each of 12 domains.
#[test]
fn full_shard_is_small() {
    let mut value = ShardValue::default();
    for number in 0..16 {
        let name = BudgetName::new(&format!("customer-1234/budget-{number}"));
        value
            .set_initial_paid(&name, tokens(10_000_000))
            .expect("amount fits");
        let entry = value.budgets.get_mut(&name).expect("entry exists");
        for domain in 0..12 {
            let instance = InstanceName::new(&format!("router-{domain:03}"));
            let mut row = HolderRow::empty(HolderId::new(instance, u64::MAX / 3), 0);
            (row.sequence, row.granted, row.spent) = (1_234, tokens(812_345), tokens(712_345));
            entry.put_row(row);
        }
    }
    let bytes = serde_json::to_vec(&value).expect("serialises").len();
    println!("shard of 16 budgets with 12 rows each: {bytes} bytes");
    assert!(bytes < 20_000, "{bytes} bytes");
}
