//! Upstreams that have left, in the view of instances with a newer state of the directory.

use std::collections::HashMap;

use crate::base::UpstreamName;

/// An upstream whose directory entry said that it is leaving, or was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamDeparture {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// Revision of the directory in which it had left.
    pub revision: u64,
}

/// Departures that the own state of the directory does not show yet, because it is older.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingDepartures {
    /// Newest revision of the directory that this instance has read.
    directory_revision: u64,
    /// Revisions of the departures by upstream.
    revisions: HashMap<UpstreamName, u64>,
}

impl PendingDepartures {
    /// Records a departure. Returns whether the own state of the directory does not show it yet.
    pub(super) fn record(&mut self, departure: &UpstreamDeparture) -> bool {
        if departure.revision <= self.directory_revision {
            return false;
        }
        let pending = self.revisions.entry(departure.upstream.clone());
        let revision = pending.or_default();
        *revision = departure.revision.max(*revision);
        true
    }

    /// Records that the directory was read and returns the upstreams whose departures it shows,
    /// unless they have come back since.
    pub(super) fn confirm(&mut self, revision: u64) -> Vec<UpstreamName> {
        self.directory_revision = revision.max(self.directory_revision);
        let newest = self.directory_revision;
        let shown = self.revisions.extract_if(|_, at| *at <= newest);
        shown.map(|(upstream, _)| upstream).collect()
    }

    /// Returns whether an upstream has left.
    pub(super) fn contains(&self, upstream: &UpstreamName) -> bool {
        self.revisions.contains_key(upstream)
    }
}
