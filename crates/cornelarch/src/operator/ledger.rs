//! Operations on ledger shards: initial amounts, top-ups, releases and totals of budgets.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    time::Duration,
};

use cornelarch_core::{
    base::{BudgetName, EnvironmentName, HolderId, TokenCount},
    budget::{BudgetEntry, ShardError, ShardNumber, ShardValue},
    config::Document,
};
use cornelarch_platform::{ObjectStore, StoreError};
use serde_json::json;

use crate::operator::{
    CommandReport, ToolError,
    publish::{encode, read_object},
};

/// Maximum number of attempts to update a shard. Routers write the same objects continuously, so
/// conflicts are frequent.
const MAX_UPDATE_ATTEMPTS: u32 = 20;
/// Delay between two attempts.
const UPDATE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The ledger of an environment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerTarget {
    /// The environment.
    pub environment: EnvironmentName,
    /// The number of shards. Must match the router settings.
    pub shards: u32,
}

impl LedgerTarget {
    fn shard(&self, budget: &BudgetName) -> ShardNumber {
        ShardNumber::of_budget(budget, self.shards)
    }

    async fn read<S: ObjectStore>(
        &self,
        store: &S,
        shard: ShardNumber,
    ) -> Result<(u64, ShardValue), ToolError> {
        let read = read_object(store, &shard.object_key(&self.environment)).await?;
        Ok(read.unwrap_or_default())
    }

    /// Applies `change` to a shard, with retries on conflicts.
    ///
    /// `change` must be idempotent: after a lost response it is applied again to a value that may
    /// already contain it. If it leaves the value unchanged, nothing is written.
    async fn update<S, T, F>(
        &self,
        store: &S,
        shard: ShardNumber,
        operation_id: &str,
        change: F,
    ) -> Result<T, ToolError>
    where
        S: ObjectStore,
        F: Fn(&mut ShardValue) -> Result<T, ShardError>,
    {
        let key = shard.object_key(&self.environment);
        let mut unknown = None;
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let (version, old) = match self.read(store, shard).await {
                Ok(read) => read,
                Err(_) if unknown.is_some() => {
                    tokio::time::sleep(UPDATE_RETRY_DELAY).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let mut value = old.clone();
            let result = change(&mut value)?;
            if value == old {
                return Ok(result);
            }
            match store.put(&key, version, encode(&key, &value)?).await {
                Ok(_) => return Ok(result),
                Err(StoreError::Conflict { .. }) => {}
                Err(error @ StoreError::Unknown { .. }) => unknown = Some(error),
                Err(error) if unknown.is_none() => return Err(error.into()),
                Err(_) => {}
            }
            tokio::time::sleep(UPDATE_RETRY_DELAY).await;
        }
        let contended = StoreError::Unavailable {
            reason: format!("object {key} changed in {MAX_UPDATE_ATTEMPTS} attempts"),
        };
        Err(match unknown {
            Some(source) => ToolError::ResultUnknown {
                source,
                operation_id: operation_id.to_owned(),
            },
            None => contended.into(),
        })
    }
}

/// Pays the initial amounts of budgets that have not received theirs, and returns their names.
///
/// # Errors
///
/// Returns a [`ToolError`]. Repeating the command pays the remaining amounts.
pub async fn fund_new_budgets<S: ObjectStore>(
    store: &S,
    target: &LedgerTarget,
    document: &Document,
) -> Result<Vec<String>, ToolError> {
    let mut by_shard: BTreeMap<ShardNumber, Vec<(&BudgetName, TokenCount)>> = BTreeMap::new();
    // A zero amount is not recorded as a payment, so that a later document can still set the
    // initial amount.
    let paid = document
        .budgets
        .iter()
        .filter(|(_, section)| !section.paid.is_zero());
    for (budget, section) in paid {
        let amounts = by_shard.entry(target.shard(budget)).or_default();
        amounts.push((budget, section.paid));
    }
    let mut funded = Vec::new();
    for (shard, amounts) in by_shard {
        let names = target
            .update(store, shard, "initial", |value| {
                let mut names = Vec::new();
                for (budget, amount) in &amounts {
                    if value.set_initial_paid(budget, *amount)? {
                        names.push(budget.to_string());
                    }
                }
                Ok(names)
            })
            .await?;
        funded.extend(names);
    }
    Ok(funded)
}

/// Adds a payment to a budget, once per operation id.
///
/// # Errors
///
/// Returns any [`ToolError`] except `Usage` and `Conflict`.
pub async fn top_up_budget<S: ObjectStore>(
    store: &S,
    target: &LedgerTarget,
    budget: &BudgetName,
    amount: TokenCount,
    operation_id: &str,
) -> Result<CommandReport, ToolError> {
    let shard = target.shard(budget);
    let totals = target
        .update(store, shard, operation_id, |value| {
            value.top_up(budget, amount, operation_id)?;
            Ok(value.totals(budget))
        })
        .await?;
    let text = format!(
        "budget {budget}: {amount} tokens paid under {operation_id}, {} in total",
        totals.paid
    );
    let json = json!({"budget": budget, "operation_id": operation_id, "totals": totals});
    Ok(CommandReport::new(text, json))
}

/// Writes off the tokens of a lost holder and seals its rows, once per operation id.
///
/// # Errors
///
/// Returns any [`ToolError`] except `Usage` and `Conflict`.
pub async fn release_holder<S: ObjectStore>(
    store: &S,
    target: &LedgerTarget,
    budget: &BudgetName,
    holder: &HolderId,
    operation_id: &str,
    credit: bool,
) -> Result<CommandReport, ToolError> {
    let shard = target.shard(budget);
    let amount = target
        .update(store, shard, operation_id, |value| {
            value.release(budget, holder, operation_id, credit)
        })
        .await?;
    let credited = if credit { " and paid again" } else { "" };
    let text = format!("budget {budget}: {amount} tokens of {holder} written off{credited}");
    let json = json!({
        "budget": budget, "holder": holder, "operation_id": operation_id,
        "written_off": amount, "credit": credit,
    });
    Ok(CommandReport::new(text, json))
}

/// Shows the totals of budgets and, if `rows` is set, the rows of their holders.
///
/// # Errors
///
/// Returns a [`ToolError`] if a platform request fails or a shard is invalid.
pub async fn show_budgets<S: ObjectStore>(
    store: &S,
    target: &LedgerTarget,
    budgets: &[BudgetName],
    rows: bool,
) -> Result<CommandReport, ToolError> {
    let mut shards: BTreeMap<ShardNumber, ShardValue> = BTreeMap::new();
    let mut text = format!(
        "{:<24} {:>16} {:>16} {:>16} {:>16} {:>16}",
        "budget", "paid", "spent", "held", "available", "written off"
    );
    let mut json = Vec::new();
    for budget in budgets {
        let shard = target.shard(budget);
        let value: &ShardValue = match shards.entry(shard) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => entry.insert(target.read(store, shard).await?.1),
        };
        let totals = value.totals(budget);
        text.push_str(&format!(
            "\n{budget:<24} {:>16} {:>16} {:>16} {:>16} {:>16}",
            totals.paid.get(),
            totals.spent.get(),
            totals.held.get(),
            totals.available.get(),
            totals.written_off.get()
        ));
        let entry = value.budgets.get(budget);
        if let Some(entry) = entry.filter(|_| rows) {
            push_rows(&mut text, entry);
        }
        json.push(json!({
            "budget": budget, "shard": shard, "totals": totals,
            "entry": entry.filter(|_| rows),
        }));
    }
    Ok(CommandReport::new(text, json.into()))
}

fn push_rows(text: &mut String, entry: &BudgetEntry) {
    for row in &entry.rows {
        let sealed = if row.sealed { " sealed" } else { "" };
        text.push_str(&format!(
            "\n  {} generation {} granted {} returned {} spent {}{sealed}",
            row.holder, row.generation, row.granted, row.returned, row.spent
        ));
    }
}
