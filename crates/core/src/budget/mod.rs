//! Prepaid token budgets: ledger shards stored at the platform and the local ledger of an instance.
//!
//! A grant transfers ownership of tokens and is not a lease, so spend never exceeds the paid
//! amount, independently of clocks and of the accuracy of the instance list. See `docs/budgets.md`.

mod forecast;
mod ledger;
mod message;
mod options;
mod peer;
mod policy;
mod row;
mod shard;
mod snapshot;
mod transfer;

pub use forecast::BurnForecast;
pub use ledger::{BudgetKey, BudgetLedger, ReservationKey, ReserveError, SettleError, Settlement};
pub use message::{BudgetMessage, DomainPeer, LedgerEffect, LedgerEvent};
pub use options::{BudgetWeight, LedgerOptions, ReserveRate};
pub use peer::PeerTable;
pub use policy::{DrawGoal, DrawInput, DrawPolicy};
pub use row::{FoldedRows, HolderRow};
pub use shard::{
    BudgetEntry, BudgetTotals, OperationKind, OperationRecord, PaidAmount, ShardError, ShardNumber,
    ShardValue,
};
pub use snapshot::{AccountSnapshot, LedgerSnapshot, ShortageSnapshot, TransferSnapshot};
pub use transfer::TransferTable;
