//! Calls that must not be repeated: each one runs at most once, at any router of the fleet.
//!
//! A record at the platform decides who may send a call. [`OrderCall`] is the state machine of
//! one attempt; [`ClaimTable`] holds what a process knows about its own claims.

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
