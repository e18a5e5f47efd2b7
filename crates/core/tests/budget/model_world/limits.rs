//! Bounds of the model and its broken variants.

use std::time::Duration;

/// Selects a fault of the protocol that the check must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Broken {
    None,
    /// Treats a draw as confirmed when its write is sent.
    SpendUnconfirmed,
    /// Gives up a write whose answer was lost and later sends another one.
    ForgetLostWrite,
    /// Applies a repeated transfer again.
    ApplyTwice,
    /// Takes a transfer back that was not acknowledged.
    ReclaimTransfer,
    /// Applies transfers to an earlier incarnation.
    AcceptOldIncarnation,
}

/// Bounds of one run. Each count is used up by one fault or request.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Limits {
    pub(crate) paid: u64,
    pub(crate) requests: u8,
    pub(crate) losses: u8,
    pub(crate) repeats: u8,
    pub(crate) crashes: u8,
    pub(crate) lost_answers: u8,
    pub(crate) downs: u8,
    pub(crate) top_ups: u8,
    pub(crate) cuts: u8,
    pub(crate) drains: u8,
    pub(crate) releases: u8,
    pub(crate) idle_flush: Duration,
    pub(crate) broken: Broken,
}

impl Limits {
    pub(crate) const NONE: Self = Self {
        paid: 3,
        requests: 2,
        losses: 0,
        repeats: 0,
        crashes: 0,
        lost_answers: 0,
        downs: 0,
        top_ups: 0,
        cuts: 0,
        drains: 0,
        releases: 0,
        idle_flush: Duration::from_secs(1),
        broken: Broken::None,
    };
}
