//! Rows of a budget entry: the tokens that a holder drew, returned and spent.

use serde::{Deserialize, Serialize};

use crate::base::{HolderId, TokenCount};

/// Serialized form of a row. Field names would double the size of a shard object.
type RowTuple = (HolderId, u32, u64, TokenCount, TokenCount, TokenCount, bool);

/// Holds the cumulative counters of one holder for one budget, in tokens.
///
/// Only the holder updates its row. An operator may seal it; a sealed row is never written again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "RowTuple", from = "RowTuple")]
pub struct HolderRow {
    /// The process that owns the row.
    pub holder: HolderId,
    /// The number of the row among those of this holder; incremented after a row was sealed or
    /// closed.
    pub generation: u32,
    /// Incremented with every change of the row, so that after a lost response the holder can tell
    /// whether its write took effect.
    pub sequence: u64,
    /// The tokens that the holder drew.
    pub granted: TokenCount,
    /// The part of `granted` that the holder returned unspent.
    pub returned: TokenCount,
    /// The tokens that the holder reported as spent.
    pub spent: TokenCount,
    /// Whether an operator sealed the row.
    pub sealed: bool,
}

impl HolderRow {
    /// Creates the empty row of a holder that has not written one yet.
    #[must_use]
    pub const fn empty(holder: HolderId, generation: u32) -> Self {
        Self {
            holder,
            generation,
            sequence: 0,
            granted: TokenCount::ZERO,
            returned: TokenCount::ZERO,
            spent: TokenCount::ZERO,
            sealed: false,
        }
    }

    /// Returns the tokens of this row that are neither returned nor spent. Saturates at zero,
    /// because a holder may also spend or return borrowed tokens.
    #[must_use]
    pub const fn remainder(&self) -> TokenCount {
        self.granted
            .saturating_sub(self.returned)
            .saturating_sub(self.spent)
    }
}

impl From<HolderRow> for RowTuple {
    fn from(row: HolderRow) -> Self {
        let HolderRow {
            holder,
            generation,
            sequence,
            granted,
            returned,
            spent,
            sealed,
        } = row;
        (
            holder, generation, sequence, granted, returned, spent, sealed,
        )
    }
}

impl From<RowTuple> for HolderRow {
    fn from(tuple: RowTuple) -> Self {
        let (holder, generation, sequence, granted, returned, spent, sealed) = tuple;
        Self {
            holder,
            generation,
            sequence,
            granted,
            returned,
            spent,
            sealed,
        }
    }
}

/// Aggregates the rows of closed holders, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FoldedRows {
    /// The tokens that the closed holders drew.
    pub granted: TokenCount,
    /// The tokens that the closed holders returned.
    pub returned: TokenCount,
    /// The tokens that the closed holders reported as spent.
    pub spent: TokenCount,
}

impl FoldedRows {
    /// Adds the counters of a row that will not be written again.
    pub fn add(&mut self, row: &HolderRow) {
        self.granted = self.granted.saturating_add(row.granted);
        self.returned = self.returned.saturating_add(row.returned);
        self.spent = self.spent.saturating_add(row.spent);
    }
}
