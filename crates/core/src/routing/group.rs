//! Upstreams that can answer the same requests.

use crate::routing::{UpstreamKey, prefix::PrefixRing, speed::LatencyLine};

/// Holds the upstreams of one model or service.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamGroup {
    /// Every upstream.
    pub(super) all: UpstreamPool,
    /// Upstreams that are preferred, unless these are all.
    pub(super) subset: Option<UpstreamPool>,
    /// Time to first token over the prompt length.
    pub(super) line: LatencyLine,
}

impl UpstreamGroup {
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.all.keys()
    }
}

/// Holds upstreams among which one is selected.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamPool {
    /// Upstreams in the domain of the router.
    pub(super) local: Vec<UpstreamKey>,
    /// Upstreams in other domains.
    pub(super) remote: Vec<UpstreamKey>,
    /// Order of preference by prefix.
    pub(super) ring: PrefixRing,
    /// Most routers that share one of the upstreams; 0 stands for all.
    pub(super) routers: u32,
}

impl UpstreamPool {
    pub(super) fn push(&mut self, key: UpstreamKey, is_local: bool) {
        if is_local {
            self.local.push(key);
        } else {
            self.remote.push(key);
        }
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.local.iter().chain(&self.remote).copied()
    }

    /// Returns the upstream at a position below [`UpstreamPool::len`].
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
