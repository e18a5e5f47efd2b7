//! Groups of interchangeable upstreams.

use crate::routing::{UpstreamKey, prefix::PrefixRing, speed::LatencyModel};

/// The upstreams of one model or service.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamGroup {
    pub(super) all: UpstreamPool,
    /// Upstreams in the subset of this router; `None` if it is the whole group or empty.
    pub(super) subset: Option<UpstreamPool>,
    /// Time to first token as a function of the prompt length.
    pub(super) latency_model: LatencyModel,
}

impl UpstreamGroup {
    pub(super) fn keys(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.all.keys()
    }
}

/// A set of upstreams from which one is selected.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamPool {
    /// Upstreams in the failure domain of the router.
    pub(super) local: Vec<UpstreamKey>,
    /// Upstreams in other domains.
    pub(super) remote: Vec<UpstreamKey>,
    /// Hash ring for prefix affinity.
    pub(super) ring: PrefixRing,
    /// Maximum number of routers that share one of the upstreams; 0 stands for all routers.
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

    /// Returns the upstream at an index less than [`UpstreamPool::len`].
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
