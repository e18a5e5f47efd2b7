//! Ledger shards: objects at the platform that each store the entries of several budgets.

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    base::{BudgetName, EnvironmentName, HolderId, TokenCount},
    budget::{FoldedRows, HolderRow},
};

/// Maximum number of operation records per entry, not counting those of initial amounts.
const MAX_OPERATIONS: usize = 64;

/// Prefix of the operation ids of initial amounts. These records are never evicted, because a
/// configuration change may apply the initial amount of a budget again at any time.
const INITIAL_PREFIX: &str = "initial/";

/// Identifies a ledger shard of an environment.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShardNumber(pub u32);

impl ShardNumber {
    /// Returns the shard of a budget in a ledger with `shards` shards.
    ///
    /// The number of shards of an environment must not change once budgets have entries.
    #[must_use]
    pub fn of_budget(budget: &BudgetName, shards: u32) -> Self {
        let hash = xxh3_64(budget.as_bytes());
        Self((hash % u64::from(shards.max(1))) as u32)
    }

    /// Returns the key of the shard object at the platform.
    #[must_use]
    pub fn object_key(self, environment: &EnvironmentName) -> String {
        format!("ledger/{environment}/{self}")
    }
}

impl fmt::Display for ShardNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// An error of an operation on a shard.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ShardError {
    /// The budget has no entry.
    #[snafu(display("budget {budget} has no entry in its ledger shard"))]
    UnknownBudget {
        /// The budget named by the operation.
        budget: BudgetName,
    },
    /// The holder has no open row.
    #[snafu(display("holder {holder} has no open row for budget {budget}"))]
    UnknownHolder {
        /// The budget in which a row was looked for.
        budget: BudgetName,
        /// The process whose rows were to be sealed.
        holder: HolderId,
    },
    /// The paid amount would exceed the largest token count.
    #[snafu(display("paid amount of budget {budget} would overflow"))]
    Overflow {
        /// The budget that keeps its paid amount.
        budget: BudgetName,
    },
    /// The operation id was already used for an operation of another kind or amount.
    #[snafu(display("operation id {operation_id:?} was already used for another operation"))]
    OperationReused {
        /// The id of the rejected operation; ids are unique per budget.
        operation_id: String,
    },
}

/// A record of an operation, which makes its repetition idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationRecord {
    /// The id that the operator chose.
    pub id: String,
    /// Compared when the id is used again; another kind is rejected.
    pub kind: OperationKind,
    /// The tokens that were paid or written off.
    pub amount: TokenCount,
}

/// What an operation does to a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperationKind {
    /// A payment.
    TopUp,
    /// The rows of a holder were sealed.
    Release,
    /// The rows of a holder were sealed and their remainder was credited.
    ReleaseWithCredit,
}

/// The totals of one budget, in tokens. Invariant: `paid = spent + held + available`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetTotals {
    /// The sum of payments.
    pub paid: TokenCount,
    /// The tokens reported as spent.
    pub spent: TokenCount,
    /// The tokens that holders own, or have spent but not reported yet.
    pub held: TokenCount,
    /// The tokens that can be drawn.
    pub available: TokenCount,
    /// The part of `held` that an operator wrote off.
    pub written_off: TokenCount,
}

/// The paid amount of a budget as set by a configuration version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PaidAmount {
    /// The total paid so far, in tokens; it replaces the previous total.
    pub amount: TokenCount,
    /// The configuration version, which increases monotonically.
    pub version: u64,
}

const fn is_unversioned(version: &u64) -> bool {
    *version == 0
}

/// The payments and rows of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BudgetEntry {
    /// The sum of payments, in tokens.
    pub paid: TokenCount,
    /// The configuration version that set `paid`, or 0 if it results from top-ups.
    #[serde(default, skip_serializing_if = "is_unversioned")]
    pub paid_version: u64,
    /// The recent operations, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub operations: Vec<OperationRecord>,
    /// The sum of the closed rows.
    #[serde(default)]
    pub folded: FoldedRows,
    /// The rows that are not closed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rows: Vec<HolderRow>,
    /// The sum of the remainders of sealed rows when they were sealed, in tokens.
    #[serde(default)]
    pub written_off: TokenCount,
}

impl BudgetEntry {
    /// Sets the paid amount, unless the same or a newer configuration version has set it.
    pub fn set_paid(&mut self, paid: PaidAmount) {
        if paid.version > self.paid_version {
            self.paid = paid.amount;
            self.paid_version = paid.version;
        }
    }

    /// Returns the totals over all rows.
    #[must_use]
    pub fn totals(&self) -> BudgetTotals {
        let mut sum = self.folded;
        self.rows.iter().for_each(|row| sum.add(row));
        let unavailable = sum.granted.saturating_sub(sum.returned);
        let held = unavailable.saturating_sub(sum.spent);
        BudgetTotals {
            paid: self.paid,
            spent: sum.spent,
            held,
            available: self.paid.saturating_sub(unavailable),
            written_off: self.written_off.min(held),
        }
    }

    /// Returns the row of a holder with the given generation.
    #[must_use]
    pub fn row(&self, holder: &HolderId, generation: u32) -> Option<&HolderRow> {
        self.rows
            .iter()
            .find(|row| row.generation == generation && row.holder == *holder)
    }

    /// Inserts the row, or replaces the row with the same holder and generation.
    pub fn put_row(&mut self, row: HolderRow) {
        let existing = self
            .rows
            .iter_mut()
            .find(|other| other.generation == row.generation && other.holder == row.holder);
        match existing {
            Some(existing) => *existing = row,
            None => self.rows.push(row),
        }
    }

    /// Adds the counters of the row to the folded rows and removes the row.
    pub fn close_row(&mut self, row: &HolderRow) {
        self.folded.add(row);
        self.rows
            .retain(|other| other.generation != row.generation || other.holder != row.holder);
    }

    fn find_operation(
        &self,
        id: &str,
        kind: OperationKind,
    ) -> Result<Option<TokenCount>, ShardError> {
        match self.operations.iter().find(|record| record.id == id) {
            Some(record) if record.kind == kind => Ok(Some(record.amount)),
            Some(_) => OperationReusedSnafu { operation_id: id }.fail(),
            None => Ok(None),
        }
    }

    fn record_operation(&mut self, id: &str, kind: OperationKind, amount: TokenCount) {
        self.operations.push(OperationRecord {
            id: id.to_owned(),
            kind,
            amount,
        });
        let is_evictable = |record: &OperationRecord| !record.id.starts_with(INITIAL_PREFIX);
        let evictable = self.operations.iter().filter(|r| is_evictable(r)).count();
        if evictable > MAX_OPERATIONS
            && let Some(oldest) = self.operations.iter().position(is_evictable)
        {
            self.operations.remove(oldest);
        }
    }
}

/// The content of a shard object: the entries of its budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShardValue {
    /// The entries of the budgets assigned to this shard.
    pub budgets: BTreeMap<BudgetName, BudgetEntry>,
}

impl ShardValue {
    /// Adds a payment of `amount` tokens, once per `operation_id`. Returns whether the value
    /// changed.
    ///
    /// # Errors
    ///
    /// Returns [`ShardError::Overflow`] if the paid amount is too large, and
    /// [`ShardError::OperationReused`] if the id stands for another operation.
    pub fn top_up(
        &mut self,
        budget: &BudgetName,
        amount: TokenCount,
        operation_id: &str,
    ) -> Result<bool, ShardError> {
        let entry = self.budgets.entry(budget.clone()).or_default();
        match entry.find_operation(operation_id, OperationKind::TopUp)? {
            Some(earlier) if earlier == amount => return Ok(false),
            Some(_) => return OperationReusedSnafu { operation_id }.fail(),
            None => {}
        }
        entry.paid = entry.paid.checked_add(amount).context(OverflowSnafu {
            budget: budget.clone(),
        })?;
        entry.record_operation(operation_id, OperationKind::TopUp, amount);
        Ok(true)
    }

    /// Adds the initial amount of a budget once. Later calls have no effect, whatever the amount.
    /// Returns whether the value changed.
    ///
    /// # Errors
    ///
    /// Returns [`ShardError::Overflow`] if the paid amount is too large.
    pub fn set_initial_paid(
        &mut self,
        budget: &BudgetName,
        amount: TokenCount,
    ) -> Result<bool, ShardError> {
        let operation_id = format!("{INITIAL_PREFIX}{budget}");
        match self.top_up(budget, amount, &operation_id) {
            Err(ShardError::OperationReused { .. }) => Ok(false),
            result => result,
        }
    }

    /// Seals the rows of a holder, once per `operation_id`, and records their remainder as written
    /// off. With `credit` the same amount is added to the paid amount. Returns the amount in
    /// tokens.
    ///
    /// # Errors
    ///
    /// Returns [`ShardError::UnknownBudget`], [`ShardError::UnknownHolder`],
    /// [`ShardError::Overflow`] or [`ShardError::OperationReused`].
    pub fn release(
        &mut self,
        budget: &BudgetName,
        holder: &HolderId,
        operation_id: &str,
        credit: bool,
    ) -> Result<TokenCount, ShardError> {
        let kind = match credit {
            true => OperationKind::ReleaseWithCredit,
            false => OperationKind::Release,
        };
        let entry = self.budgets.get_mut(budget).context(UnknownBudgetSnafu {
            budget: budget.clone(),
        })?;
        if let Some(amount) = entry.find_operation(operation_id, kind)? {
            return Ok(amount);
        }
        let is_open = |row: &HolderRow| row.holder == *holder && !row.sealed;
        if !entry.rows.iter().any(is_open) {
            return UnknownHolderSnafu {
                budget: budget.clone(),
                holder: holder.clone(),
            }
            .fail();
        }
        let rows = entry.rows.iter().filter(|row| is_open(row));
        let remainder: TokenCount = rows.map(HolderRow::remainder).sum();
        // A lender's remainder includes tokens that others hold or have spent already.
        let totals = entry.totals();
        let amount = remainder.min(totals.held.saturating_sub(totals.written_off));
        if credit {
            entry.paid = entry.paid.checked_add(amount).context(OverflowSnafu {
                budget: budget.clone(),
            })?;
        }
        for row in entry.rows.iter_mut().filter(|row| is_open(row)) {
            row.sealed = true;
        }
        entry.written_off = totals.written_off.saturating_add(amount);
        entry.record_operation(operation_id, kind, amount);
        Ok(amount)
    }

    /// Adds the sealed rows of a holder to the folded rows, which shrinks the object. Returns
    /// whether the value changed.
    ///
    /// If the holder is still alive, it abandons a draw whose result it does not know.
    pub fn fold_sealed(&mut self, budget: &BudgetName, holder: &HolderId) -> bool {
        let Some(entry) = self.budgets.get_mut(budget) else {
            return false;
        };
        let is_sealed = |row: &&HolderRow| row.holder == *holder && row.sealed;
        let rows: Vec<HolderRow> = entry.rows.iter().filter(is_sealed).cloned().collect();
        rows.iter().for_each(|row| entry.close_row(row));
        !rows.is_empty()
    }

    /// Returns the totals of a budget; they are zero if the budget has no entry.
    #[must_use]
    pub fn totals(&self, budget: &BudgetName) -> BudgetTotals {
        self.budgets
            .get(budget)
            .map(BudgetEntry::totals)
            .unwrap_or_default()
    }
}
