//! LRU prefix cache of bounded size.

use std::collections::{BTreeMap, HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::{CacheEvent, CacheEventKind};

/// Size of a cached block of prompt text, in bytes; equals [`BLOCK_TOKENS`] tokens.
const BLOCK_BYTES: usize = 256;

/// Number of tokens in a block.
const BLOCK_TOKENS: u64 = 64;

/// Maximum number of recent cache events in a load report; older events are dropped.
const MAX_EVENTS: usize = 64;

/// Cache of prompt prefixes that evicts the least recently used blocks.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: HashMap::new(),
            by_last_use: BTreeMap::new(),
            events: VecDeque::new(),
            next_event: 0,
        }
    }

    /// Stores the blocks of a prompt and returns the number of its leading tokens that were
    /// already cached.
    pub(crate) fn touch(&mut self, text: &str) -> u64 {
        let mut digest = 0;
        let mut cached = 0;
        let mut hit = true;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            // Chain the digests, so that each one covers the whole prefix up to its block.
            digest = xxh3_64_with_seed(block, digest);
            hit &= self.store(digest);
            cached += u64::from(hit) * BLOCK_TOKENS;
        }
        self.evict();
        cached
    }

    pub(crate) fn events(&self) -> Vec<CacheEvent> {
        self.events.iter().cloned().collect()
    }

    /// Removes all blocks and events, as a restart does.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Stores a block and returns whether it was present.
    fn store(&mut self, digest: u64) -> bool {
        self.clock += 1;
        let previous = self.last_used.insert(digest, self.clock);
        if let Some(used) = previous {
            self.by_last_use.remove(&used);
        } else {
            self.push_event(CacheEventKind::Stored, digest);
        }
        self.by_last_use.insert(self.clock, digest);
        previous.is_some()
    }

    fn evict(&mut self) {
        while self.last_used.len() > self.capacity {
            let Some((_, digest)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&digest);
            self.push_event(CacheEventKind::Evicted, digest);
        }
    }

    fn push_event(&mut self, kind: CacheEventKind, digest: u64) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence: self.next_event,
            kind,
            prefix: format!("{digest:016x}"),
        });
        self.next_event += 1;
    }
}
