//! The configuration version in force.

use std::{collections::HashMap, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{CustomerName, MonotonicTime, UpstreamName},
    config::{AllowedSet, Document, KeyDigest, KeyOwner},
};

use crate::process::{MetricName, RouterState};

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
    pub(crate) activated_at: MonotonicTime,
    /// The time from the write of the version to its use here, if the former is known.
    pub(crate) apply_delay: Option<Duration>,
    /// The answers of this process under earlier versions.
    pub(crate) answers_before: u64,
    upstreams: CustomerUpstreams,
}

impl ConfigVersion {
    /// Derives a version from a document.
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

    /// Returns the owner of a customer key as the caller sent it.
    pub(crate) fn key_owner(&self, key: &str) -> Option<&KeyOwner> {
        self.document.key_owner(&KeyDigest::of_key(key))
    }

    /// Returns the upstreams that a customer may use, or `None` if it may use all.
    pub(crate) fn allowed_upstreams(&self, customer: &CustomerName) -> Option<Arc<[UpstreamName]>> {
        self.upstreams.get(customer).cloned()
    }
}
