//! Tests of the budget ledger.

mod ledger;
mod model;
mod model_world;
mod property;
mod random_fleet;
mod seconds;
mod shard;
