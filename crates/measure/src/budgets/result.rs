//! Counters of one simulation run.

use super::scenario::{PolicyCase, Scenario};

/// Counters of one scenario under one policy. Amounts are in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResultRow {
    pub(crate) scenario: Scenario,
    pub(crate) policy: PolicyCase,
    pub(crate) overspend: u64,
    /// Refusals of requests that the unspent paid amount of the budget covers.
    pub(crate) false_refusals: u64,
    /// False refusals by an instance that reaches the platform, while the free tokens of the budget
    /// are at least the smaller of 2% of the paid amount and 20 mean reservations.
    ///
    /// Free tokens are neither spent, nor reserved, nor lost with a crashed holder.
    pub(crate) target_refusals: u64,
    /// As `target_refusals`, but with the larger of the two bounds.
    pub(crate) ample_balance_refusals: u64,
    /// Those of `ample_balance_refusals` in the first seconds, before instances have drawn tokens.
    pub(crate) startup_refusals: u64,
    pub(crate) refusals: u64,
    pub(crate) admitted: u64,
    pub(crate) max_held_tokens: u64,
    pub(crate) writes_per_s: f64,
    pub(crate) reads_per_s: f64,
    pub(crate) conflicts: u64,
    pub(crate) crashes: u64,
    /// Tokens that crashed holders had drawn and not spent.
    pub(crate) lost_unspent: u64,
    /// Tokens that crashed holders had spent and not yet reported.
    pub(crate) lost_unreported: u64,
    pub(crate) requests_waited: u64,
}

impl ResultRow {
    pub(crate) const fn new(scenario: Scenario, policy: PolicyCase) -> Self {
        Self {
            scenario,
            policy,
            overspend: 0,
            false_refusals: 0,
            target_refusals: 0,
            ample_balance_refusals: 0,
            startup_refusals: 0,
            refusals: 0,
            admitted: 0,
            max_held_tokens: 0,
            writes_per_s: 0.0,
            reads_per_s: 0.0,
            conflicts: 0,
            crashes: 0,
            lost_unspent: 0,
            lost_unreported: 0,
            requests_waited: 0,
        }
    }
}
