//! Simulated router instance: a ledger and the requests that wait for its tokens.

use cornelarch_core::{
    base::{BudgetName, DomainName, HolderId, InstanceName, MonotonicTime},
    budget::{BudgetKey, BudgetLedger, LedgerOptions},
};

use super::workload::Request;

/// A request that the local balance does not cover and that waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingRequest {
    pub(crate) request: Request,
    pub(crate) deadline: MonotonicTime,
}

/// One run of a router process; a restart creates a new one with a higher epoch.
pub(crate) struct Instance {
    pub(crate) ledger: BudgetLedger,
    pub(crate) keys: Vec<BudgetKey>,
    pub(crate) domain: usize,
    pub(crate) waiting: Vec<WaitingRequest>,
    pub(crate) is_draining: bool,
    pub(crate) is_live: bool,
}

pub(crate) fn budget_name(index: usize) -> BudgetName {
    BudgetName::new(&format!("budget-{index}"))
}

pub(crate) fn domain_name(index: usize) -> DomainName {
    DomainName::new(&format!("domain-{index}"))
}

impl Instance {
    pub(crate) fn new(
        index: usize,
        epoch: u64,
        domain: usize,
        budgets: usize,
        options: LedgerOptions,
    ) -> Self {
        let options = LedgerOptions {
            domain: domain_name(domain),
            ..options
        };
        let name = InstanceName::new(&format!("router-{index}"));
        let mut ledger = BudgetLedger::new(HolderId::new(name, epoch), options);
        let keys = (0..budgets)
            .map(|budget| ledger.register(budget_name(budget)))
            .collect();
        Self {
            ledger,
            keys,
            domain,
            waiting: Vec::new(),
            is_draining: false,
            is_live: true,
        }
    }
}
