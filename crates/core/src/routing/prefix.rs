//! Prefix affinity: a consistent hash ring per group and the cached prefixes of each upstream.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{base::UpstreamName, routing::UpstreamKey};

/// Virtual nodes per upstream.
const RING_POINTS: u64 = 16;
/// Maximum number of prefixes tracked per upstream.
const PREFIXES_MAX: usize = 256;

/// A consistent hash ring that gives all routers the same upstream order for a prefix.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixRing {
    points: Vec<(u64, UpstreamKey)>,
}

impl PrefixRing {
    pub(super) fn build<'a>(
        upstreams: impl Iterator<Item = (UpstreamKey, &'a UpstreamName)>,
    ) -> Self {
        let mut points: Vec<_> = upstreams
            .flat_map(|(key, name)| {
                (0..RING_POINTS).map(move |seed| (xxh3_64_with_seed(name.as_bytes(), seed), key))
            })
            .collect();
        points.sort_unstable_by_key(|(hash, _)| *hash);
        Self { points }
    }

    /// Returns the upstreams in ring order from `digest`, with repetitions.
    pub(super) fn walk(&self, digest: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        let hash = xxh3_64_with_seed(&digest.to_le_bytes(), 0);
        let start = self.points.partition_point(|(point, _)| *point < hash);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|(_, key)| *key)
    }
}

/// Prefixes that an upstream has probably cached, in order of last use.
#[derive(Clone, Debug, Default)]
pub(super) struct CachedPrefixes {
    known: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    next: u64,
}

impl CachedPrefixes {
    pub(super) fn contains(&self, digest: u64) -> bool {
        self.known.contains_key(&digest)
    }

    pub(super) fn store(&mut self, digest: u64) {
        self.next += 1;
        self.known.insert(digest, self.next);
        self.order.push_back((digest, self.next));
        while self.known.len() > PREFIXES_MAX || self.order.len() > 4 * PREFIXES_MAX {
            let Some((oldest, stamp)) = self.order.pop_front() else {
                break;
            };
            if self.known.get(&oldest) == Some(&stamp) {
                self.known.remove(&oldest);
            }
        }
    }

    pub(super) fn evict(&mut self, digest: u64) {
        self.known.remove(&digest);
    }

    pub(super) fn clear(&mut self) {
        self.known.clear();
        self.order.clear();
    }
}
