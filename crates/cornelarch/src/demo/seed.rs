//! Loads the document and the budgets into the platform, by conditional updates as the operator
//! tool makes them.

use std::time::{SystemTime, UNIX_EPOCH};

use cornelarch_core::{
    base::BudgetName,
    budget::{BudgetEntry, ShardNumber, ShardValue},
    config::{Delta, Document, HeadObject, base_key, head_key, split_base},
};
use cornelarch_platform::{HttpStore, ObjectStore, StoreError};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Whatever, whatever};

/// Number of ledger shards of the demo.
pub(crate) const LEDGER_SHARDS: u32 = 8;

/// Largest number of tries of a conditional update.
const UPDATE_TRIES: usize = 16;

/// Writes the first version of a document and returns its head.
///
/// # Errors
///
/// Returns an error if the platform refuses a write.
pub(crate) async fn store_document(
    store: &HttpStore,
    document: &Document,
) -> Result<HeadObject, Whatever> {
    let text = document.to_text();
    let parts = split_base(&text);
    let head = HeadObject::first(build_delta("demo-first"), parts.len());
    for (index, part) in parts.iter().enumerate() {
        let key = base_key(document.environment(), &head.base_id, index);
        put_json(store, &key, 0, part).await?;
    }
    put_json(store, &head_key(document.environment()), 0, &head).await?;
    Ok(head)
}

/// Writes the change from one document to another as the next version.
///
/// # Errors
///
/// Returns an error if the platform refuses the write.
pub(crate) async fn change_document(
    store: &HttpStore,
    old: &Document,
    new: &Document,
) -> Result<HeadObject, Whatever> {
    let key = head_key(new.environment());
    let (version, head) = get_json::<HeadObject>(store, &key).await?;
    let mut delta = build_delta("demo-change");
    delta.changes = old.diff(new);
    let head = head.unwrap_or_else(|| HeadObject::first(build_delta("demo-first"), 0));
    let head = head.with_delta(delta);
    put_json(store, &key, version, &head).await?;
    Ok(head)
}

/// Pays the initial amount of every budget, once.
///
/// # Errors
///
/// Returns an error if the platform refuses a write.
pub(crate) async fn pay_budgets(store: &HttpStore, document: &Document) -> Result<(), Whatever> {
    for (budget, section) in document.budgets.iter() {
        update_shard(store, document, budget, |shard| {
            let result = shard.set_initial_paid(budget, section.paid);
            result.is_ok_and(|changed| changed)
        })
        .await?;
    }
    Ok(())
}

/// Returns the ledger entry of a budget.
///
/// # Errors
///
/// Returns an error if the platform cannot be read.
pub(crate) async fn read_entry(
    store: &HttpStore,
    document: &Document,
    budget: &BudgetName,
) -> Result<BudgetEntry, Whatever> {
    let key = ShardNumber::of_budget(budget, LEDGER_SHARDS).object_key(document.environment());
    let (_, shard) = get_json::<ShardValue>(store, &key).await?;
    let shard = shard.unwrap_or_default();
    Ok(shard.budgets.get(budget).cloned().unwrap_or_default())
}

async fn update_shard(
    store: &HttpStore,
    document: &Document,
    budget: &BudgetName,
    change: impl Fn(&mut ShardValue) -> bool,
) -> Result<(), Whatever> {
    let key = ShardNumber::of_budget(budget, LEDGER_SHARDS).object_key(document.environment());
    for _ in 0..UPDATE_TRIES {
        let (version, shard) = get_json::<ShardValue>(store, &key).await?;
        let mut shard = shard.unwrap_or_default();
        if !change(&mut shard) {
            return Ok(());
        }
        let value = serde_json::to_vec(&shard).whatever_context("shard cannot be written")?;
        match store.put(&key, version, value.into()).await {
            Ok(_) => return Ok(()),
            // A repeated payment has the same operation id, so an unknown result is tried again.
            Err(StoreError::Conflict { .. } | StoreError::Unknown { .. }) => {}
            Err(error) => whatever!("object {key:?} cannot be written: {error}"),
        }
    }
    whatever!("object {key:?} changed in each of {UPDATE_TRIES} tries")
}

async fn get_json<T: DeserializeOwned>(
    store: &HttpStore,
    key: &str,
) -> Result<(u64, Option<T>), Whatever> {
    match store.get(key).await {
        Ok(found) => {
            let value = serde_json::from_slice(&found.value);
            let value = value.with_whatever_context(|_| format!("object {key:?} is not valid"))?;
            Ok((found.version, Some(value)))
        }
        Err(StoreError::NotFound { .. }) => Ok((0, None)),
        Err(error) => whatever!("object {key:?} cannot be read: {error}"),
    }
}

async fn put_json<T: Serialize>(
    store: &HttpStore,
    key: &str,
    version: u64,
    value: &T,
) -> Result<(), Whatever> {
    let value = serde_json::to_vec(value).whatever_context("object cannot be written")?;
    let result = store.put(key, version, value.into()).await;
    result.with_whatever_context(|_| format!("object {key:?} cannot be written"))?;
    Ok(())
}

fn build_delta(operation_id: &str) -> Delta {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    Delta {
        version: 1,
        operator: "demo".to_owned(),
        operation_id: operation_id.to_owned(),
        time: time.map_or(0, |time| time.as_secs()),
        changes: Vec::new(),
        base_only: false,
    }
}
