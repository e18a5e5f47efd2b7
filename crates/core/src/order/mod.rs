//! At-most-once execution of orders, which are calls that must not be repeated.
//!
//! A record at the platform determines which attempt of which router may send the call to an
//! upstream. [`OrderCall`] is the state machine of one attempt; [`ClaimTable`] holds the state of
//! the claims of one process.

mod call;
mod claim;
mod limiter;
mod record;

pub use call::{OrderCall, OrderEffect, OrderEvent, OrderOptions};
pub use claim::{ClaimTable, LocalClaim};
pub use limiter::OrderLimiter;
pub use record::{
    ClaimId, MAX_STORED_BODY_BYTES, OrderRecord, OrderState, RequestDigest, StoredAnswer,
    VersionedRecord, is_expired, record_key,
};
