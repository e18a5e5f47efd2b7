//! Tests of `prove` and `promote`: only a proven version is promoted, and the target keeps its own
//! budgets and keys.

mod common;

use std::collections::BTreeSet;

use common::{MemoryStore, WriteFault, document};
use cornelarch::operator::{
    ApplyRequest, CommandReport, PromoteRequest, StatusView, ToolError, apply_document,
    promote_version, prove_version, read_document, read_head,
};
use cornelarch_core::{
    base::{EnvironmentName, InstanceName},
    config::Document,
};

fn trial() -> EnvironmentName {
    EnvironmentName::new("trial")
}

async fn apply(store: &MemoryStore, document: Document, from_version: u64) {
    let operation_id = format!("{}-{from_version}", document.environment());
    let request = ApplyRequest {
        document,
        from_version,
        operator: "ann".to_owned(),
        operation_id,
        shards: 8,
    };
    apply_document(store, &request).await.expect("published");
}

fn status(instance: &str, version: u64) -> StatusView {
    StatusView {
        instance: instance.into(),
        environment: trial(),
        version,
        answers_under_version: 1,
        broken_promises: 0,
    }
}

fn live() -> BTreeSet<InstanceName> {
    ["r1", "r2"].map(InstanceName::new).into()
}

async fn prove(store: &MemoryStore, version: u64) {
    let statuses = [status("r1", version), status("r2", version)];
    prove_version(store, &trial(), "ann", &statuses, &live())
        .await
        .expect("proven");
}

fn request(version: u64, write: bool) -> PromoteRequest {
    PromoteRequest {
        source: trial(),
        target: "production".into(),
        version,
        operator: "ann".to_owned(),
        operation_id: format!("promote-{version}"),
        keep_upstreams: false,
        write,
        from_version: None,
    }
}

async fn promote(store: &MemoryStore, version: u64) -> Result<CommandReport, ToolError> {
    promote_version(store, &request(version, true)).await
}

async fn production(store: &MemoryStore) -> Document {
    let environment = EnvironmentName::new("production");
    let read = read_head(store, &environment)
        .await
        .expect("head is readable");
    let head = read.expect("head exists").head;
    read_document(store, &environment, &head)
        .await
        .expect("document is valid")
}

/// Guards against recording a version as proven that is not active on every live instance, or under
/// which an instance counted a broken promise.
#[rstest::rstest]
#[case::behind(|status: &mut StatusView| status.version = 1, "r2 is at version 1")]
#[case::broken(|status: &mut StatusView| status.broken_promises = 1, "broke 1 promises")]
#[case::other(|status: &mut StatusView| status.environment = "production".into(), "serves")]
#[case::missing(|status: &mut StatusView| status.instance = "r3".into(), "r2 was not read")]
#[tokio::test]
async fn unproven_version_is_refused(#[case] modify: fn(&mut StatusView), #[case] expected: &str) {
    let store = MemoryStore::default();
    apply(&store, document("trial", 1, 5), 0).await;
    apply(&store, document("trial", 1, 6), 1).await;
    let mut statuses = [status("r1", 2), status("r2", 2)];
    modify(&mut statuses[1]);
    let error = prove_version(&store, &trial(), "ann", &statuses, &live()).await;
    let error = error.expect_err("not proven");
    assert_eq!(error.exit_code(), 7);
    assert!(error.to_string().contains(expected), "{error}");
    assert!(promote(&store, 2).await.is_err());
}

/// Guards against recording a version as proven under which no request was answered.
#[tokio::test]
async fn unused_version_is_refused() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 1, 5), 0).await;
    let mut statuses = [status("r1", 1), status("r2", 1)];
    for status in &mut statuses {
        status.answers_under_version = 0;
    }
    let error = prove_version(&store, &trial(), "ann", &statuses, &live()).await;
    let error = error.expect_err("not proven");
    assert!(
        error.to_string().contains("no request was answered"),
        "{error}"
    );
    statuses[0].answers_under_version = 1;
    prove_version(&store, &trial(), "ann", &statuses, &live())
        .await
        .expect("one request is enough");
}

/// Guards against trial keys and amounts that reach production, and against the loss of
/// production's own.
#[tokio::test]
async fn budgets_and_keys_stay_those_of_production() {
    let store = MemoryStore::default();
    let own = document("production", 900, 5)
        .to_text()
        .replace("abab", "cdcd");
    apply(&store, Document::parse(&own).expect("valid"), 0).await;
    let extra = "[budget new]\npaid = 77\n[customer new]\nkey_sha256 = ".to_owned()
        + &"ef".repeat(32)
        + "\nbudget = new\nmodels = small\n";
    let text = document("trial", 100, 9).to_text() + &extra;
    apply(&store, Document::parse(&text).expect("valid"), 0).await;
    prove(&store, 1).await;
    let shown = promote_version(&store, &request(1, false))
        .await
        .expect("shown");
    assert!(shown.text.contains("+   order_rate = 9"), "{}", shown.text);
    assert_eq!(production(&store).await.limits.order_rate, 5);
    promote(&store, 1).await.expect("promoted");
    let new = production(&store).await;
    assert_eq!(new.environment().as_str(), "production");
    assert_eq!(new.limits.order_rate, 9);
    assert_eq!(new.budgets["acme"].paid.get(), 900);
    assert_eq!(new.budgets["new"].paid.get(), 0);
    assert_eq!(
        new.customers["acme"].key_sha256[0].digest.to_string(),
        "cd".repeat(32)
    );
    assert!(new.customers["new"].key_sha256.is_empty());
}

/// Guards against the promotion of a version other than the proven one.
#[tokio::test]
async fn exactly_the_proven_version_is_promoted() {
    let store = MemoryStore::default();
    apply(&store, document("trial", 1, 5), 0).await;
    prove(&store, 1).await;
    apply(&store, document("trial", 1, 6), 1).await;
    assert_eq!(
        promote(&store, 2)
            .await
            .expect_err("not proven")
            .exit_code(),
        7
    );
    promote(&store, 1).await.expect("promoted");
    assert_eq!(production(&store).await.limits.order_rate, 5);
}

/// Guards against a promotion that is published twice after a lost response, and against one that
/// overwrites a change made after the comparison.
#[tokio::test(start_paused = true)]
async fn promotion_is_published_once() {
    let store = MemoryStore::default();
    apply(&store, document("production", 1, 1), 0).await;
    apply(&store, document("trial", 1, 5), 0).await;
    prove(&store, 1).await;
    store.inject_write_faults("config/production/head", [WriteFault::ResponseLost]);
    let report = promote(&store, 1).await.expect("promoted");
    assert_eq!(report.json["version"], 2);
    assert_eq!(
        promote(&store, 1).await.expect("repeated").json["version"],
        2
    );
    let mut late = request(1, true);
    late.operation_id = "late".to_owned();
    late.from_version = Some(1);
    let error = promote_version(&store, &late)
        .await
        .expect_err("production changed");
    assert_eq!(error.exit_code(), 4);
    assert!(error.to_string().contains("version 2 by ann"), "{error}");
}
