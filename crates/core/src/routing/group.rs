//! Upstreams that can answer the same requests.

use crate::routing::{UpstreamKey, prefix::PrefixRing, speed::LatencyLine};

/// Holds the upstreams of one model or service.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamGroup {
    /// Upstreams in the domain of the router.
    pub(super) local: Vec<UpstreamKey>,
    /// Upstreams in other domains.
    pub(super) remote: Vec<UpstreamKey>,
    /// Order of preference by prefix.
    pub(super) ring: PrefixRing,
    /// Time to first token over the prompt length.
    pub(super) line: LatencyLine,
}

impl UpstreamGroup {
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Returns the upstream at a position below [`UpstreamGroup::len`].
    pub(super) fn at(&self, index: usize) -> UpstreamKey {
        match index.checked_sub(self.local.len()) {
            Some(index) => self.remote[index],
            None => self.local[index],
        }
    }

    pub(super) fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }
}
