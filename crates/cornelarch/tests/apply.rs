//! Tests of `apply`: concurrent operators, lost responses and initial amounts.

mod common;

use common::{MemoryStore, WriteFault, document};
use cornelarch::operator::{
    ApplyRequest, CommandReport, LedgerTarget, ToolError, apply_document, read_document, read_head,
    show_budgets, top_up_budget,
};
use cornelarch_core::{
    base::{BudgetName, EnvironmentName, TokenCount},
    config::{Document, HeadObject},
};
use cornelarch_platform::ObjectStore;

const HEAD: &str = "config/trial/head";
const LEDGER: &str = "ledger/trial/";

fn request(document: Document, from_version: u64, operator: &str) -> ApplyRequest {
    ApplyRequest {
        document,
        from_version,
        operator: operator.to_owned(),
        operation_id: format!("{operator}-{from_version}"),
        shards: 8,
    }
}

async fn apply(
    store: &MemoryStore,
    document: Document,
    from: u64,
    operator: &str,
) -> Result<CommandReport, ToolError> {
    apply_document(store, &request(document, from, operator)).await
}

async fn current(store: &MemoryStore) -> (HeadObject, Document) {
    let environment = EnvironmentName::new("trial");
    let read = read_head(store, &environment)
        .await
        .expect("head is readable");
    let head = read.expect("head exists").head;
    let document = read_document(store, &environment, &head)
        .await
        .expect("document is valid");
    (head, document)
}

async fn paid(store: &MemoryStore) -> u64 {
    let target = LedgerTarget {
        environment: "trial".into(),
        shards: 8,
    };
    let budgets = [BudgetName::new("acme")];
    let report = show_budgets(store, &target, &budgets, false)
        .await
        .expect("ledger is readable");
    report.json[0]["totals"]["paid"].as_u64().expect("amount")
}

/// Guards against a change that is published incorrectly, and against initial amounts that are paid
/// again when a later version changes them.
#[tokio::test(start_paused = true)]
async fn changes_are_published_and_budgets_are_paid_once() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("first version");
    assert_eq!(paid(&store).await, 100);
    let report = apply(&store, document("trial", 200, 6), 1, "ann")
        .await
        .expect("second version");
    assert_eq!(report.json["version"], 2);
    assert!(
        report.text.contains("+   order_rate = 6"),
        "{}",
        report.text
    );
    let (head, new) = current(&store).await;
    assert_eq!((head.version, new), (2, document("trial", 200, 6)));
    assert_eq!(paid(&store).await, 100);
}

/// Guards against a lost update: an operator who edited an older version must not overwrite the
/// change of another operator.
#[tokio::test(start_paused = true)]
async fn second_operator_is_told_what_changed() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("first version");
    apply(&store, document("trial", 100, 6), 1, "ann")
        .await
        .expect("second version");
    let error = apply(&store, document("trial", 100, 7), 1, "ben")
        .await
        .expect_err("ann was first");
    assert_eq!(error.exit_code(), 4);
    let text = error.to_string();
    assert!(text.contains("version 2 by ann: [limits]"), "{text}");
    assert_eq!(current(&store).await.1, document("trial", 100, 6));
}

/// Guards against a lost update if the other operator writes between the read and the write of the
/// head.
#[tokio::test(start_paused = true)]
async fn concurrent_write_is_refused() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("first version");
    let mut other = current(&store).await.0.deltas[0].clone();
    other.operation_id = "other".to_owned();
    other.operator = "ann".to_owned();
    other.changes = document("trial", 100, 5).diff(&document("trial", 100, 6));
    let head = current(&store).await.0.with_delta(other);
    let head = serde_json::to_vec(&head).expect("head is serialisable");
    store.inject_write_faults(HEAD, [WriteFault::ConcurrentWrite(head.into())]);
    let error = apply(&store, document("trial", 100, 7), 1, "ben")
        .await
        .expect_err("ann was first");
    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("+   order_rate = 6"), "{error}");
    assert_eq!(current(&store).await.1, document("trial", 100, 6));
}

/// Guards against a change that is published twice, or reported as failed, after a lost response.
#[rstest::rstest]
#[case::taken_effect(vec![WriteFault::ResponseLost])]
#[case::not_written(vec![WriteFault::RequestLost])]
#[case::both(vec![WriteFault::RequestLost, WriteFault::ResponseLost])]
#[tokio::test(start_paused = true)]
async fn lost_answer_is_resolved(#[case] faults: Vec<WriteFault>) {
    let store = MemoryStore::default();
    apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("first version");
    store.inject_write_faults(HEAD, faults);
    let report = apply(&store, document("trial", 100, 6), 1, "ann")
        .await
        .expect("resolved");
    assert_eq!(report.json["version"], 2);
    let (head, new) = current(&store).await;
    assert_eq!(
        (head.version, head.deltas.len(), new),
        (2, 2, document("trial", 100, 6))
    );
}

/// Guards against a repeated command that publishes again, or that does not pay the initial amounts
/// for which the first run failed.
#[tokio::test(start_paused = true)]
async fn repeated_command_completes_the_first_one() {
    let store = MemoryStore::default();
    store.inject_write_faults(LEDGER, [WriteFault::Unavailable]);
    let error = apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect_err("ledger is down");
    assert_eq!(error.exit_code(), 6);
    let text = error.to_string();
    assert!(text.contains("version 1 is published") && text.contains("--operation-id ann-0"));
    let report = apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("repeated");
    assert_eq!(report.json["earlier"], true);
    assert_eq!(
        (current(&store).await.0.version, paid(&store).await),
        (1, 100)
    );
}

/// Guards against a payment that is counted twice after a lost response or a repeated command.
#[rstest::rstest]
#[case(vec![])]
#[case(vec![WriteFault::ResponseLost])]
#[case(vec![WriteFault::RequestLost, WriteFault::ResponseLost])]
#[tokio::test(start_paused = true)]
async fn top_up_counts_once(#[case] faults: Vec<WriteFault>) {
    let store = MemoryStore::default();
    let target = LedgerTarget {
        environment: "trial".into(),
        shards: 8,
    };
    let (budget, amount) = (BudgetName::new("acme"), TokenCount::new(7));
    store.inject_write_faults(LEDGER, faults);
    for _ in 0..2 {
        top_up_budget(&store, &target, &budget, amount, "invoice-1")
            .await
            .expect("paid");
    }
    assert_eq!(paid(&store).await, 7);
    let other = top_up_budget(&store, &target, &budget, TokenCount::new(8), "invoice-1").await;
    assert_eq!(other.expect_err("id is used").exit_code(), 7);
}

/// Guards against a head that grows without bound, a new base that loses changes, and old bases
/// that are never deleted.
#[tokio::test(start_paused = true)]
async fn many_changes_lead_to_a_new_base() {
    let store = MemoryStore::default();
    for version in 0..150 {
        apply(&store, document("trial", 100, version + 1), version, "ann")
            .await
            .expect("published");
    }
    let (head, new) = current(&store).await;
    assert_eq!((head.version, new), (150, document("trial", 100, 150)));
    let count = head.deltas.len();
    assert!(head.base_version > 120 && count <= 33, "{count} deltas");
    assert!(head.deltas_after(143).is_some());
    assert!(store.keys("config/trial/base/").len() <= 2);
    let bytes = store.get(HEAD).await.expect("head exists").value.len();
    assert!(bytes < 16_000, "{bytes} bytes");
}

/// Guards against a change that exceeds the size limit of the head object.
#[tokio::test(start_paused = true)]
async fn large_change_is_stored_as_a_base() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 100, 5), 0, "ann")
        .await
        .expect("first version");
    let mut text = document("trial", 100, 5).to_text();
    for budget in 0..40_000 {
        text.push_str(&format!("[budget large-{budget:05}]\npaid = 0\n"));
    }
    let large = Document::parse(&text).expect("document is valid");
    apply(&store, large.clone(), 1, "ann")
        .await
        .expect("published");
    let (head, new) = current(&store).await;
    assert!(head.base_parts > 1 && head.deltas_after(1).is_none());
    assert_eq!(new, large);
    let bytes = store.get(HEAD).await.expect("head exists").value.len();
    assert!(bytes < 10_000, "{bytes} bytes");
}
