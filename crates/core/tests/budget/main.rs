//! Tests of the budget ledger.

mod ledger;
mod shard;
