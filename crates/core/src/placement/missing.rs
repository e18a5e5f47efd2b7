//! Classification of upstreams that are missing from the first list after a platform outage.

use std::collections::{HashMap, HashSet};

use crate::{
    base::{ServiceName, UpstreamName},
    placement::UpstreamRecord,
};

/// Known upstreams that are missing from a list, by probable cause.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingUpstreams {
    /// Upstreams whose entries may have expired during the outage; live ones register again.
    pub lapsed: Vec<UpstreamName>,
    /// Upstreams that were removed.
    pub gone: Vec<UpstreamName>,
}

impl MissingUpstreams {
    /// Classifies the known upstreams that are missing from a list.
    ///
    /// If only this instance had lost its connection to the platform, most entries of a service are
    /// still listed; a missing upstream then counts as removed rather than expired.
    #[must_use]
    pub fn classify<'a>(
        known: impl Iterator<Item = &'a UpstreamRecord>,
        listed: &[UpstreamRecord],
    ) -> Self {
        let names: HashSet<&UpstreamName> = listed.iter().map(|record| &record.name).collect();
        let mut listed_counts: HashMap<&ServiceName, usize> = HashMap::new();
        for record in listed {
            *listed_counts.entry(&record.service).or_default() += 1;
        }
        let mut missing: HashMap<&ServiceName, Vec<&UpstreamRecord>> = HashMap::new();
        for record in known.filter(|record| !names.contains(&record.name)) {
            missing.entry(&record.service).or_default().push(record);
        }
        let mut classified = Self::default();
        for (service, records) in missing {
            let is_most_listed = listed_counts
                .get(service)
                .is_some_and(|n| *n >= records.len());
            for record in records {
                let names = match is_most_listed || record.is_leaving {
                    true => &mut classified.gone,
                    false => &mut classified.lapsed,
                };
                names.push(record.name.clone());
            }
        }
        classified
    }
}
