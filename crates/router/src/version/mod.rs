//! The configuration version in force.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{BudgetName, CustomerName, MonotonicTime, UpstreamName},
    budget::BudgetKey,
    config::{AllowedSet, Document, KeyDigest, KeyOwner, SectionChange, SectionKind},
};

use crate::process::{MetricName, RouterState};

/// Maps budgets to their keys in the ledger.
type BudgetKeys = Arc<HashMap<BudgetName, BudgetKey>>;

/// Lists the upstreams of each customer that may not use all of them.
type CustomerUpstreams = HashMap<CustomerName, Arc<[UpstreamName]>>;

/// Holds a document with what the request path derives from it.
#[derive(Debug)]
pub(crate) struct ConfigVersion {
    /// The version number.
    pub(crate) number: u64,
    /// The document.
    pub(crate) document: Arc<Document>,
    /// When the version came in force here.
    pub(crate) since: MonotonicTime,
    /// The time from the write of the version to its use here, if the former is known.
    pub(crate) age: Option<Duration>,
    /// The answers of this process under earlier versions.
    pub(crate) answers_before: u64,
    budgets: BudgetKeys,
    upstreams: CustomerUpstreams,
}

impl ConfigVersion {
    /// Derives a version from a document; `changes` are those since the version in force.
    pub(crate) fn build(
        number: u64,
        document: Arc<Document>,
        changes: Option<&[SectionChange]>,
        state: &RouterState,
        age: Option<Duration>,
    ) -> Self {
        let previous = state.version.load();
        let budgets = match (changes, previous.as_ref()) {
            // Registering 100,000 budgets takes tens of milliseconds, so it is done on need only.
            (Some(changes), Some(previous)) if !touches(changes, SectionKind::Budget) => {
                Arc::clone(&previous.budgets)
            }
            _ => Arc::new(register_budgets(&document, state)),
        };
        let upstreams =
            document
                .customers
                .iter()
                .filter_map(|(name, section)| match &section.upstreams {
                    AllowedSet::All => None,
                    AllowedSet::Listed(names) => {
                        Some((name.clone(), names.iter().cloned().collect()))
                    }
                });
        Self {
            number,
            upstreams: upstreams.collect(),
            document,
            since: state.now(),
            age,
            answers_before: state.metrics.value(MetricName::Answers),
            budgets,
        }
    }

    /// Returns the owner of a customer key as the caller sent it.
    pub(crate) fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.document.key_owner(&KeyDigest::of_key(key))
    }

    /// Returns the key of a budget in the ledger.
    pub(crate) fn budget_key(&self, budget: &BudgetName) -> Option<BudgetKey> {
        self.budgets.get(budget).copied()
    }

    /// Returns the upstreams that a customer may use, or `None` if it may use all.
    pub(crate) fn allowed_upstreams(&self, customer: &CustomerName) -> Option<Arc<[UpstreamName]>> {
        self.upstreams.get(customer).cloned()
    }
}

fn touches(changes: &[SectionChange], kind: SectionKind) -> bool {
    changes.iter().any(|change| change.section.kind == kind)
}

fn register_budgets(document: &Document, state: &RouterState) -> HashMap<BudgetName, BudgetKey> {
    let names = document.budgets.keys();
    names
        .map(|name| (name.clone(), state.ledger.lock().register(name.clone())))
        .collect()
}
