//! Tests of the budget ledger.

mod ledger;
mod model;
mod model_world;
mod shard;
