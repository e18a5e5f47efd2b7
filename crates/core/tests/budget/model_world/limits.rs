//! Bounds of a model check run, and defects to inject into the protocol.

use std::time::Duration;

/// A protocol defect that the check must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Defect {
    None,
    /// Treats a draw as confirmed as soon as its write is sent.
    SpendUnconfirmed,
    /// Treats a write whose answer was lost as failed, and later sends another one.
    ForgetLostWrite,
    /// Applies a duplicate of a transfer.
    ApplyTwice,
    /// Reclaims a transfer that was not acknowledged.
    ReclaimTransfer,
    /// Applies transfers that were sent to an earlier incarnation.
    AcceptOldIncarnation,
}

/// Bounds of one run. Each fault or request decrements its counter.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Limits {
    pub(crate) paid: u64,
    pub(crate) requests: u8,
    pub(crate) losses: u8,
    pub(crate) duplicates: u8,
    pub(crate) crashes: u8,
    pub(crate) lost_answers: u8,
    pub(crate) outages: u8,
    pub(crate) top_ups: u8,
    pub(crate) partitions: u8,
    pub(crate) drains: u8,
    pub(crate) releases: u8,
    pub(crate) idle_flush: Duration,
    pub(crate) defect: Defect,
}

impl Limits {
    pub(crate) const NONE: Self = Self {
        paid: 3,
        requests: 2,
        losses: 0,
        duplicates: 0,
        crashes: 0,
        lost_answers: 0,
        outages: 0,
        top_ups: 0,
        partitions: 0,
        drains: 0,
        releases: 0,
        idle_flush: Duration::from_secs(1),
        defect: Defect::None,
    };
}
