//! Seeds the platform with the document and budgets, using the functions of the operator tool.

use cornelarch_core::{
    base::BudgetName,
    budget::{BudgetTotals, ShardNumber, ShardValue},
    config::Document,
};
use cornelarch_platform::{HttpStore, ObjectStore, StoreError};
use snafu::{OptionExt, ResultExt, Whatever, whatever};

use crate::operator::{ApplyRequest, apply_document, read_head};

/// Number of ledger shards in the demo.
pub(crate) const LEDGER_SHARDS: u32 = 8;

/// Publishes a document as the next version, credits the initial amounts of new budgets and
/// returns the version.
///
/// # Errors
///
/// Returns an error if a read or write at the platform fails.
pub(crate) async fn apply(store: &HttpStore, document: &Document) -> Result<u64, Whatever> {
    let environment = document.environment();
    let context = "document cannot be applied";
    let read = read_head(store, environment)
        .await
        .whatever_context(context)?;
    let from_version = read.map_or(0, |read| read.head.version);
    let request = ApplyRequest {
        document: document.clone(),
        from_version,
        operator: "demo".to_owned(),
        operation_id: format!("demo-{from_version}"),
        shards: LEDGER_SHARDS,
    };
    apply_document(store, &request)
        .await
        .whatever_context(context)?;
    let read = read_head(store, environment)
        .await
        .whatever_context(context)?;
    let read = read.whatever_context(context)?;
    Ok(read.head.version)
}

/// Returns the ledger totals of a budget; zeros if its shard does not exist.
///
/// # Errors
///
/// Returns an error if the shard cannot be read or parsed.
pub(crate) async fn read_totals(
    store: &HttpStore,
    document: &Document,
    budget: &BudgetName,
) -> Result<BudgetTotals, Whatever> {
    let key = ShardNumber::of_budget(budget, LEDGER_SHARDS).object_key(document.environment());
    match store.get(&key).await {
        Ok(found) => {
            let shard: Result<ShardValue, _> = serde_json::from_slice(&found.value);
            let shard = shard.with_whatever_context(|_| format!("object {key:?} is not valid"))?;
            Ok(shard.totals(budget))
        }
        Err(StoreError::NotFound { .. }) => Ok(BudgetTotals::default()),
        Err(error) => whatever!("object {key:?} cannot be read: {error}"),
    }
}
