//! Active configuration version.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{CustomerName, MonotonicTime, UpstreamName},
    config::{AllowedSet, Document, KeyDigest, KeyOwner},
};

use crate::process::{MetricName, RouterState};

/// Maps each customer that may not use all upstreams to those that it may use.
type CustomerUpstreams = HashMap<CustomerName, Arc<[UpstreamName]>>;

/// Holds a configuration document and the lookups that the request path needs.
#[derive(Debug)]
pub(crate) struct ConfigVersion {
    pub(crate) number: u64,
    pub(crate) document: Arc<Document>,
    /// Time at which this process activated the version.
    pub(crate) activated_at: MonotonicTime,
    /// Time from the write of the version to its activation, or `None` if the former is unknown.
    pub(crate) apply_delay: Option<Duration>,
    /// Number of answers that this process gave under earlier versions.
    pub(crate) answers_before: u64,
    upstreams: CustomerUpstreams,
}

impl ConfigVersion {
    /// Builds a version from a document.
    pub(crate) fn build(
        number: u64,
        document: Arc<Document>,
        state: &RouterState,
        apply_delay: Option<Duration>,
    ) -> Self {
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
            activated_at: state.now(),
            apply_delay,
            answers_before: state.metrics.value(MetricName::Answers),
        }
    }

    /// Returns the owner of a customer key, given as sent by the caller.
    pub(crate) fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.document.key_owner(&KeyDigest::of_key(key))
    }

    /// Returns the upstreams that a customer may use, or `None` if it may use all.
    pub(crate) fn allowed_upstreams(&self, customer: &CustomerName) -> Option<Arc<[UpstreamName]>> {
        self.upstreams.get(customer).cloned()
    }
}
