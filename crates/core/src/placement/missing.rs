//! Upstreams that are missing from the first list after an outage of the platform.

use std::collections::{HashMap, HashSet};

use crate::{
    base::{ServiceName, UpstreamName},
    placement::UpstreamRecord,
};

/// Tells what became of upstreams that are missing from a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MissingUpstreams {
    /// Entries that may have lapsed while the platform was away; live upstreams register again.
    pub lapsed: Vec<UpstreamName>,
    /// Upstreams that left.
    pub gone: Vec<UpstreamName>,
}

impl MissingUpstreams {
    /// Sorts the known upstreams that are missing from a list. If only this instance had lost the
    /// platform, most entries of a service are still there, so that a missing one left.
    #[must_use]
    pub fn classify<'a>(
        known: impl Iterator<Item = &'a UpstreamRecord>,
        listed: &[UpstreamRecord],
    ) -> Self {
        let names: HashSet<&UpstreamName> = listed.iter().map(|record| &record.name).collect();
        let mut services: HashMap<&ServiceName, usize> = HashMap::new();
        for record in listed {
            *services.entry(&record.service).or_default() += 1;
        }
        let mut missing: HashMap<&ServiceName, Vec<&UpstreamRecord>> = HashMap::new();
        for record in known.filter(|record| !names.contains(&record.name)) {
            missing.entry(&record.service).or_default().push(record);
        }
        let mut sorted = Self::default();
        for (service, records) in missing {
            let is_most_listed = services.get(service).is_some_and(|n| *n >= records.len());
            for record in records {
                let names = match is_most_listed || record.is_leaving {
                    true => &mut sorted.gone,
                    false => &mut sorted.lapsed,
                };
                names.push(record.name.clone());
            }
        }
        sorted
    }
}
